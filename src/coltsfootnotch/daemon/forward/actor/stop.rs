//! How a forwarding entry stops.

use std::sync::atomic::Ordering;
use std::time::Duration;

use stakker::CX;

use super::{ForwardActor, STOP_MARGIN, Stopping};
use crate::util::events;

/// Time after the signal to stop for which new connections are taken. Balancers ask each second and
/// take a host out after two failures in a row; connections that they open meanwhile must be served.
const STOP_LISTENING_AFTER: Duration = Duration::from_millis(2_600);

impl ForwardActor {
    /// Begins to stop. Told again it goes on as it was: what is in progress has until the end of its
    /// time, and who can't wait kills the process.
    pub(super) fn begin_stop(&mut self, now: Duration) {
        if self.stopping.is_some() {
            return;
        }
        let in_progress = self.connections.count();
        self.cx
            .log(&events::SHUTDOWN_STARTED, &[("connections", &in_progress)]);
        self.stopping = Some(Stopping {
            since: now,
            listening: true,
        });
        self.ready.store(false, Ordering::Relaxed);
    }

    pub(super) fn go_on_stopping(&mut self, cx: CX![], now: Duration) {
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        let passed = now.saturating_sub(stopping.since);
        if stopping.listening && passed >= STOP_LISTENING_AFTER {
            stopping.listening = false;
            self.serving.abort();
            self.connections.close();
        }
        let idle = !stopping.listening && self.connections.count() == 0;
        let forced = passed + STOP_MARGIN >= self.times.shutdown;
        if forced && !idle {
            let left = self.connections.count();
            self.cx
                .log(&events::SHUTDOWN_FORCED, &[("connections", &left)]);
        }
        if idle || forced {
            self.end(cx);
        }
    }
}
