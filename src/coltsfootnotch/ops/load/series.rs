//! How a run went over time: service, queue and utilisation, sampled while it runs.

use std::time::Duration;

/// One sample.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Time since the run began.
    pub at: Duration,
    /// Service of each account so far, in units, in the order of the target's accounts.
    pub service: Vec<u64>,
    /// Requests that wait, over all accounts.
    pub waiting: usize,
    /// Share of the engines' slots in use since the sample before, from 0 to 1.
    pub utilisation: f64,
}

/// Slot time used against slot time offered, over chosen stretches of a run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    busy: Duration,
    offered: Duration,
}

impl Usage {
    /// Counts a stretch.
    pub(super) fn add(&mut self, busy: Duration, offered: Duration) {
        self.busy += busy;
        self.offered += offered;
    }

    /// The share in use, or zero when nothing was offered.
    pub(super) fn share(&self) -> f64 {
        share(self.busy, self.offered)
    }
}

/// `busy` as a share of `offered`, or zero when nothing was offered.
pub(super) fn share(busy: Duration, offered: Duration) -> f64 {
    if offered.is_zero() {
        return 0.0;
    }
    busy.as_secs_f64() / offered.as_secs_f64()
}
