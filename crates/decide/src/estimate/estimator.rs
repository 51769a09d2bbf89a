//! Learned cost of a request per account.

use std::collections::HashMap;

use coltsfootnotch_types::{AccountName, ServiceUnits};

/// Share of the newest cost in the running mean. An eighth follows a changed habit within about
/// eight requests, while one request of a hundred times the usual cost moves the mean only twelvefold.
const NEWEST_SHARE: f64 = 1.0 / 8.0;

/// Estimate before anything was learned, in units: less than nearly any request costs. Too low, the
/// rest is charged as tokens stream. Too high does harm: an account that returns is lifted to a place
/// that falls again when the excess is given back, and it waits for what nobody received.
const FIRST_ESTIMATE: f64 = 100.0;

/// How far a hint may move an estimate from the account's mean, either way. Hints are rough and
/// written by the caller: a hint of one token must not buy a run nearly for free.
const HINT_REACH: f64 = 4.0;

#[derive(Debug, Clone, Copy)]
struct History {
    mean_cost: f64,
    mean_hint: Option<f64>,
}

impl History {
    fn learn(&mut self, hint: Option<ServiceUnits>, cost: f64) {
        self.mean_cost += (cost - self.mean_cost) * NEWEST_SHARE;
        if let Some(hint) = hint {
            let hint = hint.0 as f64;
            let mean = self.mean_hint.unwrap_or(hint);
            self.mean_hint = Some(mean + (hint - mean) * NEWEST_SHARE);
        }
    }

    /// The mean cost, scaled by how the hint compares with the account's usual hints.
    fn estimate(&self, hint: Option<ServiceUnits>) -> f64 {
        let usual = self.mean_hint.filter(|mean| *mean >= 1.0);
        let scale = match (hint, usual) {
            (Some(hint), Some(usual)) => hint.0 as f64 / usual,
            _ => 1.0,
        };
        self.mean_cost * scale.clamp(1.0 / HINT_REACH, HINT_REACH)
    }
}

/// Learns what requests cost, per account and over all.
///
/// A hint only compares an account's requests with each other: an account that always hints a tenth
/// of the cost is charged the same as one that hints the truth.
#[derive(Debug, Clone, Default)]
pub struct CostEstimator {
    accounts: HashMap<AccountName, History>,
    all: Option<History>,
}

impl CostEstimator {
    /// An estimator that has learned nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The expected cost of a request of `account`, at least one unit.
    ///
    /// ```
    /// use coltsfootnotch_decide::estimate::CostEstimator;
    /// use coltsfootnotch_types::{AccountName, ServiceUnits};
    /// let account = AccountName::new("bistro")?;
    /// let mut estimator = CostEstimator::new();
    /// estimator.learn(&account, None, ServiceUnits(300));
    /// assert_eq!(estimator.estimate(&account, None), ServiceUnits(300));
    /// # Ok::<(), coltsfootnotch_types::NameError>(())
    /// ```
    #[must_use]
    pub fn estimate(&self, account: &AccountName, hint: Option<ServiceUnits>) -> ServiceUnits {
        let history = self.accounts.get(account).or(self.all.as_ref());
        let cost = history.map_or(FIRST_ESTIMATE, |h| h.estimate(hint));
        ServiceUnits((cost.round() as u64).max(1))
    }

    /// Learns the true cost of a request that ended, finished or not.
    pub fn learn(&mut self, account: &AccountName, hint: Option<ServiceUnits>, cost: ServiceUnits) {
        let cost = cost.0 as f64;
        let first = History {
            mean_cost: cost,
            mean_hint: None,
        };
        let history = self.accounts.entry(account.clone()).or_insert(first);
        history.learn(hint, cost);
        self.all.get_or_insert(first).learn(None, cost);
    }
}
