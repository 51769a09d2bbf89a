//! The outcome of a run, counted when the run ends.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::engine::Engine;

/// The outcome of a run.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    Completed,
    Cancelled,
    Abandoned,
}

/// Counts the outcome of a run on drop, also when the job is dropped on disconnection.
pub(crate) struct RunGuard {
    pub(crate) engine: Arc<Engine>,
    pub(crate) attempt: String,
    pub(crate) cancel: Arc<Notify>,
    pub(crate) outcome: Outcome,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.attempts.finish(&self.attempt, &self.cancel);
        match self.outcome {
            Outcome::Completed => state.stats.finished += 1,
            Outcome::Cancelled => state.stats.cancelled += 1,
            Outcome::Abandoned => state.stats.abandoned += 1,
        }
    }
}
