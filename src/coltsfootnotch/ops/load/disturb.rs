//! What a scenario does to the stand-in engines while the callers ask.

use std::time::Duration;

use coltsfootnotch_fakes::EngineHandle;

use super::scenario::Scenario;

/// How much longer everything takes on the slow engine.
const SLOWDOWN: f64 = 8.0;

/// The slow engine of a scenario: slow from one quarter to three quarters of the run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Disturbance {
    slow: bool,
}

impl Disturbance {
    /// Sets the engines to what the scenario wants after `elapsed` of `length`.
    pub(super) fn step(
        &mut self,
        scenario: Scenario,
        engines: &[EngineHandle],
        elapsed: Duration,
        length: Duration,
    ) {
        if scenario != Scenario::SlowUpstream {
            return;
        }
        let slow = elapsed >= length / 4 && elapsed < length * 3 / 4;
        if slow == self.slow {
            return;
        }
        self.slow = slow;
        if let Some(engine) = engines.first() {
            engine.set_slowdown(if slow { SLOWDOWN } else { 1.0 });
        }
    }
}
