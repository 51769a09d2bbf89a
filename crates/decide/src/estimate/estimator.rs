//! Estimates of the cost of a request, per account.

use std::collections::HashMap;

use coltsfootnotch_types::{AccountName, ServiceUnits};

/// Weight of the newest sample in the moving average.
const SMOOTHING: f64 = 1.0 / 8.0;

/// Estimate without any history, in service units. Deliberately low: usage above it is charged as
/// tokens stream, while a refund after too high an estimate leaves accounts that were raised in
/// between waiting for service that nobody received.
const INITIAL_ESTIMATE: f64 = 100.0;

/// Largest factor by which a hint scales an estimate, up or down. Hints come from the caller, who
/// could understate the cost.
const MAX_HINT_SCALE: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
struct History {
    mean_cost: f64,
    mean_hint: Option<f64>,
}

impl History {
    fn record(&mut self, hint: Option<ServiceUnits>, cost: f64) {
        self.mean_cost += (cost - self.mean_cost) * SMOOTHING;
        if let Some(hint) = hint {
            let hint = hint.0 as f64;
            let mean = self.mean_hint.unwrap_or(hint);
            self.mean_hint = Some(mean + (hint - mean) * SMOOTHING);
        }
    }

    /// Mean cost, scaled by the ratio of the hint to the mean hint.
    fn estimate(&self, hint: Option<ServiceUnits>) -> f64 {
        let mean_hint = self.mean_hint.filter(|mean| *mean >= 1.0);
        let scale = match (hint, mean_hint) {
            (Some(hint), Some(mean_hint)) => hint.0 as f64 / mean_hint,
            _ => 1.0,
        };
        self.mean_cost * scale.clamp(1.0 / MAX_HINT_SCALE, MAX_HINT_SCALE)
    }
}

/// Moving averages of the cost of requests, per account and over all accounts.
///
/// A hint only compares requests of the same account: an account whose hints are all too low by the
/// same factor gets the same estimates as one with exact hints.
#[derive(Debug, Clone, Default)]
pub struct CostEstimator {
    accounts: HashMap<AccountName, History>,
    all: Option<History>,
}

impl CostEstimator {
    /// An estimator without history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Expected cost of a request of `account`, at least one unit.
    ///
    /// ```
    /// use coltsfootnotch_decide::estimate::CostEstimator;
    /// use coltsfootnotch_types::{AccountName, ServiceUnits};
    /// let account = AccountName::new("bistro")?;
    /// let mut estimator = CostEstimator::new();
    /// estimator.record(&account, None, ServiceUnits(300));
    /// assert_eq!(estimator.estimate(&account, None), ServiceUnits(300));
    /// # Ok::<(), coltsfootnotch_types::NameError>(())
    /// ```
    #[must_use]
    pub fn estimate(&self, account: &AccountName, hint: Option<ServiceUnits>) -> ServiceUnits {
        let history = self.accounts.get(account).or(self.all.as_ref());
        let cost = history.map_or(INITIAL_ESTIMATE, |h| h.estimate(hint));
        ServiceUnits((cost.round() as u64).max(1))
    }

    /// Records the cost of a request that finished, failed or was cancelled.
    pub fn record(
        &mut self,
        account: &AccountName,
        hint: Option<ServiceUnits>,
        cost: ServiceUnits,
    ) {
        let cost = cost.0 as f64;
        let first = History {
            mean_cost: cost,
            mean_hint: None,
        };
        let history = self.accounts.entry(account.clone()).or_insert(first);
        history.record(hint, cost);
        self.all.get_or_insert(first).record(None, cost);
    }
}
