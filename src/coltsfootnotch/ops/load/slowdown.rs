//! Slows one stand-in engine down during a run.

use std::time::Duration;

use coltsfootnotch_fakes::EngineHandle;

use super::scenario::Scenario;

/// Factor by which the slow engine is slower.
const SLOWDOWN: f64 = 8.0;

/// Slows the first engine down from one quarter to three quarters of the run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EngineSlowdown {
    is_slow: bool,
}

impl EngineSlowdown {
    /// Sets the engine's speed for `elapsed` out of `length`; does nothing in other scenarios.
    pub(super) fn update(
        &mut self,
        scenario: Scenario,
        engines: &[EngineHandle],
        elapsed: Duration,
        length: Duration,
    ) {
        if scenario != Scenario::SlowUpstream {
            return;
        }
        let is_slow = elapsed >= length / 4 && elapsed < length * 3 / 4;
        if is_slow == self.is_slow {
            return;
        }
        self.is_slow = is_slow;
        if let Some(engine) = engines.first() {
            engine.set_slowdown(if is_slow { SLOWDOWN } else { 1.0 });
        }
    }
}
