//! Time series of a run: service, queue and utilisation.

use std::time::Duration;

/// One sample of the time series.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Time since the start of the run.
    pub elapsed: Duration,
    /// Cumulative service of each account in service units, in the order of the target's accounts.
    pub service: Vec<u64>,
    /// Waiting requests of all accounts.
    pub waiting: usize,
    /// Share of the engines' slots in use since the previous sample, from 0 to 1.
    pub utilisation: f64,
}

/// Slot time used and slot time available over the counted intervals of a run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    busy: Duration,
    available: Duration,
}

impl Usage {
    /// Adds an interval.
    pub(super) fn add(&mut self, busy: Duration, available: Duration) {
        self.busy += busy;
        self.available += available;
    }

    /// Share of the available slot time that was in use, or zero when none was available.
    pub(super) fn share(&self) -> f64 {
        share(self.busy, self.available)
    }
}

/// `busy` as a share of `available`, or zero when `available` is zero.
pub(super) fn share(busy: Duration, available: Duration) -> f64 {
    if available.is_zero() {
        return 0.0;
    }
    busy.as_secs_f64() / available.as_secs_f64()
}
