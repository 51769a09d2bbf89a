//! Graceful stop of a control daemon: it passes on its leadership and what it has acknowledged.

use std::time::Duration;

use super::{ControlDaemon, NextStep};
use crate::util::events;

/// Longest time that a graceful stop waits for the leadership transfer.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a stopping host stays connected after the last call that it has acknowledged, so that what
/// it passed on arrives: a round trip takes some milliseconds, and several if a packet is lost.
const PASS_ON_TIME: Duration = Duration::from_millis(300);

impl ControlDaemon {
    pub(super) fn start_stop(&mut self, now: Duration) {
        if self.stop_deadline.is_some() {
            return;
        }
        self.host.log(&events::SHUTDOWN_STARTED, &[]);
        self.stop_deadline = Some(now + STOP_TIMEOUT);
        // Without a successor this member leads until it stops, and the others then elect a leader.
        let _ = self.replica.core_mut().transfer(now, None);
    }

    /// Whether to continue after an input.
    pub(super) fn next_step(&self, now: Duration) -> NextStep {
        match self.stop_deadline {
            Some(by) if now >= by => NextStep::Stop,
            Some(_) if !self.replica.core().is_leader() && now >= self.passed_on_at => {
                NextStep::Stop
            }
            _ => NextStep::Continue,
        }
    }

    /// Records that a call was acknowledged whose content is passed on without a log.
    pub(in crate::daemon::control) fn on_acknowledged(&mut self, now: Duration) {
        self.passed_on_at = now + PASS_ON_TIME;
    }

    /// Whether a stop has started.
    pub(in crate::daemon::control) fn is_stopping(&self) -> bool {
        self.stop_deadline.is_some()
    }
}
