//! Graceful shutdown of a forwarding entry.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use stakker::CX;

use super::{ABORT_TIME, ForwardActor, STOP_MARGIN, Stopping};
use crate::daemon::forward::stop_times::{STOP_LISTENING_AFTER, StopTimes};
use crate::util::events;

impl ForwardActor {
    /// Starts a shutdown. A second call has no effect: requests in progress keep their time.
    pub(super) fn start_shutdown(&mut self, now: Duration) {
        if self.stopping.is_some() {
            return;
        }
        let in_progress = self.connections.count();
        self.cx
            .log(&events::SHUTDOWN_STARTED, &[("connections", &in_progress)]);
        self.stopping = Some(Stopping {
            since: now,
            listening: true,
            is_aborting: false,
            has_reported: false,
        });
        self.ready.store(false, Ordering::Relaxed);
        let times = StopTimes::new(Instant::now(), self.time_until_abort());
        self.stop_times.send_replace(Some(times));
        self.handover.end();
    }

    /// Time from the stop signal until the requests in progress are aborted.
    pub(super) fn time_until_abort(&self) -> Duration {
        self.times.shutdown.saturating_sub(STOP_MARGIN + ABORT_TIME)
    }

    pub(super) fn continue_shutdown(&mut self, cx: CX![], now: Duration) {
        let Some(stopping) = &mut self.stopping else {
            return;
        };
        let elapsed = now.saturating_sub(stopping.since);
        if stopping.listening && elapsed >= STOP_LISTENING_AFTER {
            stopping.listening = false;
            let connections = self.connections.count();
            let late_ms = (elapsed - STOP_LISTENING_AFTER).as_millis();
            self.cx.log(
                &events::CONNECTIONS_CLOSING,
                &[("connections", &connections), ("late_ms", &late_ms)],
            );
            self.connections.close();
        }
        if !stopping.is_aborting && elapsed + STOP_MARGIN + ABORT_TIME >= self.times.shutdown {
            stopping.is_aborting = true;
            self.connections.abort();
        }
        let is_idle = !stopping.listening && self.connections.pending() == 0;
        let is_forced = elapsed + STOP_MARGIN >= self.times.shutdown;
        if (is_idle || is_forced) && !stopping.has_reported {
            // The connections stay open for another tick, in which the report leaves.
            stopping.has_reported = true;
            self.report_due = now;
            self.report(now);
            return;
        }
        if is_forced && !is_idle {
            let in_progress = self.connections.count();
            self.cx
                .log(&events::SHUTDOWN_FORCED, &[("connections", &in_progress)]);
        }
        if is_idle || is_forced {
            let closed_unread = self.connections.closed_unread();
            if closed_unread > 0 {
                self.cx.log(
                    &events::CONNECTIONS_CLOSED_UNREAD,
                    &[("connections", &closed_unread)],
                );
            }
            self.end(cx);
        }
    }
}
