//! Life cycle of a daemon: drives the state chart `daemon`.
//!
//! A daemon is ready once a configuration is in force. During a graceful shutdown it takes no new
//! requests, and finishes when none is in progress or the shutdown timeout has passed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootnotch_chart::{Chart, DaemonEvent, DaemonState, Machine};

use crate::core::HostCx;
use crate::util::events;

/// Part of the shutdown time in which the requests that are still in progress are aborted: their callers read a
/// response of some hundred bytes, also beside as many others as a host holds.
const ABORT_TIME: Duration = Duration::from_millis(300);

/// State of a daemon's life cycle; owned by its actor.
#[derive(Debug)]
pub struct Lifecycle {
    cx: HostCx,
    machine: Machine,
    shutdown: Duration,
    stop_at: Option<Duration>,
    ready: Arc<AtomicBool>,
}

impl Lifecycle {
    /// Creates the life cycle of a starting daemon; `shutdown` is how long a graceful shutdown
    /// waits for requests in progress.
    #[must_use]
    pub fn new(cx: HostCx, chart: &Arc<Chart>, shutdown: Duration) -> Self {
        let machine = Machine::new(chart);
        Self {
            cx,
            machine,
            shutdown,
            stop_at: None,
            ready: Arc::default(),
        }
    }

    /// The shared flag that is true while the daemon takes requests.
    #[must_use]
    pub fn ready_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ready)
    }

    /// Handles a configuration that came into force.
    pub fn on_config_in_force(&mut self) {
        self.fire(DaemonEvent::ConfigInForce);
    }

    /// Starts a graceful shutdown; returns false if one was started before.
    pub fn request_shutdown(&mut self, in_progress: usize) -> bool {
        if self.is_stopping() {
            return false;
        }
        self.fire(DaemonEvent::ShutdownRequested);
        self.stop_at = Some(self.cx.now() + self.shutdown);
        self.cx
            .log(&events::SHUTDOWN_STARTED, &[("in_progress", &in_progress)]);
        true
    }

    /// Whether a graceful shutdown has started.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_at.is_some()
    }

    /// Whether the requests that are still in progress have to be aborted, so that their callers learn of it before
    /// the daemon stops.
    #[must_use]
    pub fn should_abort(&self) -> bool {
        let now = self.cx.now();
        self.stop_at
            .is_some_and(|stop_at| now + ABORT_TIME >= stop_at)
    }

    /// Finishes a graceful shutdown if no request is in progress or its timeout has passed; returns
    /// whether the daemon has to stop now.
    pub fn try_finish(&mut self, in_progress: usize) -> bool {
        let Some(stop_at) = self.stop_at else {
            return false;
        };
        if in_progress > 0 && self.cx.now() < stop_at {
            return false;
        }
        if in_progress == 0 {
            self.fire(DaemonEvent::Drained);
        } else {
            self.fire(DaemonEvent::ShutdownTimeout);
            self.cx
                .log(&events::SHUTDOWN_FORCED, &[("in_progress", &in_progress)]);
        }
        self.cx.log(&events::DAEMON_STOPPED, &[]);
        true
    }

    fn fire(&mut self, event: DaemonEvent) {
        if let Err(e) = self.machine.fire(event) {
            panic!("daemon {}: {e}", self.cx.identity.host);
        }
        let ready = self.machine.is(DaemonState::Ready);
        self.ready.store(ready, Ordering::Relaxed);
    }
}
