//! How fast an upstream works, against what was expected of it.
//!
//! **Pattern of load.** An upstream turns several times slower for some seconds. Its requests still
//! end well, so only the time that they take shows it.
//!
//! The factor is the ratio of two sums that fade: time taken and time expected. A sum rather than an
//! average of ratios, so that many short requests do not outvote the one that waited.

use std::time::Duration;

/// Time in which an observation loses about two thirds of its weight: an upstream that turns slow
/// should lose its share within a second or two, and one that recovers should get it back as soon.
const MEMORY: Duration = Duration::from_millis(1_500);

/// Milliseconds of expected time that count as observed at factor 1: a single slow answer of 100 ms
/// moves the factor by a fifth, a handful of them show it nearly whole.
const PRIOR_MS: f64 = 400.0;

/// The greatest factor: beyond it an upstream gets nothing anyway.
const MAX_FACTOR: f64 = 20.0;
/// The least factor: an estimate that was far too high must not make an upstream look free.
const MIN_FACTOR: f64 = 0.4;

/// The pace of an upstream.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::Speed;
/// let mut speed = Speed::default();
/// assert_eq!(speed.factor(Duration::ZERO), 1.0);
/// for _ in 0..10 {
///     speed.observe(Duration::ZERO, 500.0, 100.0);
/// }
/// assert!(speed.factor(Duration::ZERO) > 3.0);
/// assert!(speed.factor(Duration::from_secs(9)) < 1.1, "forgotten");
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    took_ms: f64,
    expected_ms: f64,
    at: Duration,
}

impl Speed {
    /// Takes in that requests took `took_ms` where `expected_ms` was expected.
    pub fn observe(&mut self, now: Duration, took_ms: f64, expected_ms: f64) {
        let left = fade(now.saturating_sub(self.at), MEMORY);
        self.took_ms = self.took_ms * left + took_ms;
        self.expected_ms = self.expected_ms * left + expected_ms;
        self.at = self.at.max(now);
    }

    /// By how much the upstream is slower than expected; 1 is as expected.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f64 {
        let left = fade(now.saturating_sub(self.at), MEMORY);
        let ratio = (PRIOR_MS + self.took_ms * left) / (PRIOR_MS + self.expected_ms * left);
        ratio.clamp(MIN_FACTOR, MAX_FACTOR)
    }
}

/// What is left of a weight after `passed`.
pub(crate) fn fade(passed: Duration, memory: Duration) -> f64 {
    (-passed.as_secs_f64() / memory.as_secs_f64()).exp()
}
