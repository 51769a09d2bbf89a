//! Retries as a share of recent successes.

use std::time::Duration;

/// Retries per success. A tenth lets nearly every scattered failure be retried, and adds at most a
/// tenth of load when everything fails.
const SHARE: f64 = 0.1;

/// Time in which a success or a retry loses about two thirds of its worth. Longer than an upstream
/// needs to be found silent, so failures of one upstream are covered by successes of before.
const MEMORY: Duration = Duration::from_secs(10);

/// Retries that need no success before them, so that the first failure of a quiet pool is retried.
const FLOOR: f64 = 1.0;

/// Counts successes and retries, both fading with time.
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
    faded_at: Duration,
}

impl RetryBudget {
    /// A budget that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first attempt that succeeded. Retries that succeed don't count, or they would pay
    /// for further retries.
    pub fn on_success(&mut self, now: Duration) {
        self.fade(now);
        self.successes += 1.0;
    }

    /// Takes one retry from the budget if there is one.
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.fade(now);
        if self.retries + 1.0 > self.allowed() {
            return false;
        }
        self.retries += 1.0;
        true
    }

    fn allowed(&self) -> f64 {
        self.successes * SHARE + FLOOR
    }

    fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.faded_at).as_secs_f64();
        let left = (-passed / MEMORY.as_secs_f64()).exp();
        self.successes *= left;
        self.retries *= left;
        self.faded_at = self.faded_at.max(now);
    }
}
