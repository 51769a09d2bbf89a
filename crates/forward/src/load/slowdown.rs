//! Slowdown of an upstream against the expected time.
//!
//! An upstream that turns several times slower still succeeds, so only the time of its requests
//! shows it. The factor is the ratio of two decaying sums, time taken and time expected. An average
//! of ratios lets many short requests outvote the one that waited.

use std::time::Duration;

/// Decay time of observations; an upstream loses and regains its share within a second or two.
const DECAY_TIME: Duration = Duration::from_millis(1_500);

/// Expected milliseconds that count as observed at factor 1: one slow answer of 100 ms moves the
/// factor by a fifth.
const PRIOR_MS: f64 = 400.0;

/// Greatest factor; beyond it an upstream gets no requests anyway.
const MAX_FACTOR: f64 = 20.0;
/// Least factor: an estimate that was far too high must not make an upstream look free.
const MIN_FACTOR: f64 = 0.4;

/// Ratio of the time that an upstream takes to the expected time.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::Slowdown;
/// let mut slowdown = Slowdown::default();
/// assert_eq!(slowdown.factor(Duration::ZERO), 1.0);
/// for _ in 0..10 {
///     slowdown.observe(Duration::ZERO, 500.0, 100.0);
/// }
/// assert!(slowdown.factor(Duration::ZERO) > 3.0);
/// assert!(slowdown.factor(Duration::from_secs(9)) < 1.1, "decayed");
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Slowdown {
    elapsed_ms: f64,
    expected_ms: f64,
    updated_at: Duration,
}

impl Slowdown {
    /// Records that requests took `elapsed_ms` where `expected_ms` was expected.
    pub fn observe(&mut self, now: Duration, elapsed_ms: f64, expected_ms: f64) {
        let remaining = decay(now.saturating_sub(self.updated_at), DECAY_TIME);
        self.elapsed_ms = self.elapsed_ms * remaining + elapsed_ms;
        self.expected_ms = self.expected_ms * remaining + expected_ms;
        self.updated_at = self.updated_at.max(now);
    }

    /// Factor by which the upstream is slower than expected; 1 is as expected.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f64 {
        let remaining = decay(now.saturating_sub(self.updated_at), DECAY_TIME);
        let ratio =
            (PRIOR_MS + self.elapsed_ms * remaining) / (PRIOR_MS + self.expected_ms * remaining);
        ratio.clamp(MIN_FACTOR, MAX_FACTOR)
    }
}

/// Remaining weight of an observation after `passed`.
pub(crate) fn decay(passed: Duration, decay_time: Duration) -> f64 {
    (-passed.as_secs_f64() / decay_time.as_secs_f64()).exp()
}
