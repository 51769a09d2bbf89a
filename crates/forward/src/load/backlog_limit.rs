//! Adaptive limit on the prompt backlog of an engine.
//!
//! Engines prefill prompts between the steps in which every stream gets its next token. Some
//! prefill a small chunk in each step; others prefill all that waits at once, and every stream
//! pauses for as long, which its callers take for a failure.
//!
//! The limit starts at a share of the tolerated pause. It grows while it blocks requests and pauses
//! stay short, and is cut when a pause comes near the tolerated one: growth is slow after a cut and
//! accelerates with the time since.

use std::time::Duration;

/// Initial limit, as a share of the tolerated pause.
const INITIAL_SHARE: f64 = 0.7;
/// Least limit, as a share of the tolerated pause. An idle engine accepts a request in any case.
const MIN_SHARE: f64 = 0.1;
/// Greatest limit, as a share of the tolerated pause.
const MAX_SHARE: f64 = 10.0;

/// Share of the tolerated pause from which the limit is cut, before pauses become too long.
const CUT_THRESHOLD: f64 = 0.65;
/// Multiple of the tolerated pause from which prefill is not the cause: the engine crashed, hangs,
/// or is cut off.
const OUTAGE_THRESHOLD: f64 = 4.0;
/// Greatest and least factor of a cut.
const MAX_CUT_FACTOR: f64 = 0.7;
const MIN_CUT_FACTOR: f64 = 0.5;

/// Growth per second before the first cut, and the most after one.
const INITIAL_GROWTH: f64 = 0.5;
/// Growth per second right after a cut, and its increase with the square of the seconds since.
const MIN_GROWTH: f64 = 0.01;
const GROWTH_ACCELERATION: f64 = 0.004;
/// Longest time that one observation of a blocked request counts for.
const MAX_OBSERVATION: Duration = Duration::from_millis(300);

/// Limit on the prefill time that may wait at one engine.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::BacklogLimit;
/// let ms = Duration::from_millis;
/// let mut limit = BacklogLimit::default();
/// let before = limit.get(ms(300));
/// limit.observe_pause(ms(1_000), ms(280), ms(300));
/// assert!(limit.get(ms(300)) < before);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct BacklogLimit {
    /// As a share of the tolerated pause.
    share: f64,
    cut_at: Option<Duration>,
    last_blocking: Duration,
}

impl Default for BacklogLimit {
    fn default() -> Self {
        Self {
            share: INITIAL_SHARE,
            cut_at: None,
            last_blocking: Duration::ZERO,
        }
    }
}

impl BacklogLimit {
    /// Prefill time that may wait where callers tolerate pauses of `tolerated`.
    #[must_use]
    pub fn get(&self, tolerated: Duration) -> Duration {
        tolerated.mul_f64(self.share)
    }

    /// Records that a stream of the engine had no event for `pause`, of which callers tolerate
    /// `tolerated`. Returns whether the limit was cut.
    pub fn observe_pause(&mut self, now: Duration, pause: Duration, tolerated: Duration) -> bool {
        let share = pause.as_secs_f64() / tolerated.as_secs_f64().max(1e-3);
        if !(CUT_THRESHOLD..OUTAGE_THRESHOLD).contains(&share) {
            return false;
        }
        // All streams of an engine pause together: one pause counts once.
        if self
            .cut_at
            .is_some_and(|at| now < at + pause.max(tolerated))
        {
            return false;
        }
        self.cut_at = Some(now);
        let factor = (CUT_THRESHOLD / share).clamp(MIN_CUT_FACTOR, MAX_CUT_FACTOR);
        self.share = (self.share * factor).max(MIN_SHARE);
        true
    }

    /// Records that the limit kept a request from the engine, or nearly did.
    pub fn record_blocking(&mut self, now: Duration) {
        let time = now.saturating_sub(self.last_blocking).min(MAX_OBSERVATION);
        self.last_blocking = now;
        let growth = self.growth(now) * time.as_secs_f64();
        self.share = (self.share * (1.0 + growth)).min(MAX_SHARE);
    }

    /// Growth per second.
    fn growth(&self, now: Duration) -> f64 {
        let Some(cut_at) = self.cut_at else {
            return INITIAL_GROWTH;
        };
        let since = now.saturating_sub(cut_at).as_secs_f64();
        (MIN_GROWTH + GROWTH_ACCELERATION * since * since).min(INITIAL_GROWTH)
    }
}
