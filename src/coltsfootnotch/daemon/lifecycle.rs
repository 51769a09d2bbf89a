//! A daemon from its start to its end, by the chart `daemon`.
//!
//! A daemon takes work once it has a configuration in force. Asked to stop, it takes no more and ends
//! when nothing is in progress, or when the time for that is over.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootnotch_chart::{Chart, DaemonEvent, DaemonState, Machine};

use crate::core::HostCx;
use crate::util::events;

/// Where a daemon stands in its life; owned by its actor.
#[derive(Debug)]
pub struct Lifecycle {
    cx: HostCx,
    machine: Machine,
    shutdown: Duration,
    stop_at: Option<Duration>,
    ready: Arc<AtomicBool>,
}

impl Lifecycle {
    /// A daemon that starts; `shutdown` is the time for requests in progress at a graceful shutdown.
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

    /// Whether the daemon takes work; shared with the tasks that serve callers and probes.
    #[must_use]
    pub fn ready(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ready)
    }

    /// A configuration is in force.
    pub fn config_in_force(&mut self) {
        self.fire(DaemonEvent::ConfigInForce);
    }

    /// Asks for a graceful shutdown; whether it has started with this.
    pub fn ask_stop(&mut self, in_progress: usize) -> bool {
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

    /// Whether the daemon ends now, with `in_progress` requests unfinished.
    pub fn ends(&mut self, in_progress: usize) -> bool {
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
