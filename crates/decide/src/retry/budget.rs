//! Retry budget, as a share of recent successes.

use std::time::Duration;

/// Retries per success. A tenth allows the retry of nearly every scattered failure, and adds at most a
/// tenth of the load when everything fails.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Time constant of the exponential decay. Longer than the detection of a failed upstream, so that
/// earlier successes cover the retries of its requests.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Retries allowed without a recent success, for pools with little traffic.
const MIN_RETRIES: f64 = 1.0;

/// Counts successes and retries with exponential decay.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::retry::RetryBudget;
/// let mut budget = RetryBudget::new();
/// let now = Duration::ZERO;
/// assert!(budget.try_take(now));
/// assert!(!budget.try_take(now));
/// for _ in 0..10 {
///     budget.on_success(now);
/// }
/// assert!(budget.try_take(now));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    successes: f64,
    retries: f64,
    decayed_at: Duration,
}

impl RetryBudget {
    /// A budget without successes or retries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first attempt that succeeded. Successful retries must not be counted, since they
    /// extend the budget.
    pub fn on_success(&mut self, now: Duration) {
        self.decay(now);
        self.successes += 1.0;
    }

    /// Takes one retry from the budget if there is one.
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.decay(now);
        if self.retries + 1.0 > self.allowed() {
            return false;
        }
        self.retries += 1.0;
        true
    }

    fn allowed(&self) -> f64 {
        self.successes * RETRIES_PER_SUCCESS + MIN_RETRIES
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.successes *= factor;
        self.retries *= factor;
        self.decayed_at = self.decayed_at.max(now);
    }
}
