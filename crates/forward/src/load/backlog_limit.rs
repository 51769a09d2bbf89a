//! How much may wait to be read at an engine before its streams stall.
//!
//! **Pattern of load.** Engines read prompts between the steps in which every stream gets its next token.
//! Some read a small chunk in each step, and streams hardly notice; others read all that waits at once,
//! and every stream beside it pauses for as long.
//!
//! **Without it** nothing is refused, first events come in a tenth of their target, and a third of the
//! streams still fails its callers by one long pause in the middle.
//!
//! **The rule.** The limit starts at a part of the pause that callers bear. It grows while it is in the
//! way and pauses stay short, and is cut when a pause comes near what callers bear: slowly near the limit
//! of the last cut, faster the longer the cut is ago. An engine that bears more therefore gets more
//! within some seconds, and one that turns slow gets less at once, whatever engine it is.

use std::time::Duration;

/// Limit at the start, as a share of the pause that callers bear: an engine that reads all that waits at
/// once needs few cuts from here, and one that bears more refuses little until the limit has grown.
const START: f64 = 0.7;
/// The least, as a share of the same: an engine with nothing to read takes a request in any case.
const LEAST: f64 = 0.1;
/// The greatest. Beyond it a prompt waits for several seconds.
const GREATEST: f64 = 10.0;

/// Share of the pause that callers bear from which the limit is cut. Pauses below what they bear are
/// signs of the longer ones to come, and cost nobody anything.
const TOO_LONG: f64 = 0.65;
/// Multiple of the same beyond which a pause is no work of the engine's reading: it crashed, hangs, or is cut off.
const NOT_READING: f64 = 4.0;
/// What a cut leaves at most and at least.
const CUT_TO: f64 = 0.7;
const CUT_TO_LEAST: f64 = 0.5;

/// Growth a second before the first cut.
const GROWTH_AT_FIRST: f64 = 0.5;
/// Growth a second right after a cut, and what each second since the cut adds to it, squared.
const GROWTH_AFTER_CUT: f64 = 0.01;
const GROWTH_REGAINED: f64 = 0.004;
/// Longest time for which one sign that the limit is in the way counts.
const SIGN_LASTS: Duration = Duration::from_millis(300);

/// How much may wait to be read at one engine.
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
    /// As a share of the pause that callers bear.
    share: f64,
    cut_at: Option<Duration>,
    in_the_way: Duration,
}

impl Default for BacklogLimit {
    fn default() -> Self {
        Self {
            share: START,
            cut_at: None,
            in_the_way: Duration::ZERO,
        }
    }
}

impl BacklogLimit {
    /// Time of reading that may wait where callers bear pauses of `borne`.
    #[must_use]
    pub fn get(&self, borne: Duration) -> Duration {
        borne.mul_f64(self.share)
    }

    /// A stream of the engine had no event for `pause`; its callers bear `borne`. Whether the limit was
    /// cut for it.
    pub fn observe_pause(&mut self, now: Duration, pause: Duration, borne: Duration) -> bool {
        let share = pause.as_secs_f64() / borne.as_secs_f64().max(1e-3);
        if !(TOO_LONG..NOT_READING).contains(&share) {
            return false;
        }
        // All streams of an engine pause together: one pause is one sign.
        if self.cut_at.is_some_and(|at| now < at + pause.max(borne)) {
            return false;
        }
        self.cut_at = Some(now);
        let left = (TOO_LONG / share).clamp(CUT_TO_LEAST, CUT_TO);
        self.share = (self.share * left).max(LEAST);
        true
    }

    /// The limit kept a request from the engine, or nearly did.
    pub fn note_in_the_way(&mut self, now: Duration) {
        let time = now.saturating_sub(self.in_the_way).min(SIGN_LASTS);
        self.in_the_way = now;
        let growth = self.growth(now) * time.as_secs_f64();
        self.share = (self.share * (1.0 + growth)).min(GREATEST);
    }

    /// Growth a second.
    fn growth(&self, now: Duration) -> f64 {
        let Some(cut_at) = self.cut_at else {
            return GROWTH_AT_FIRST;
        };
        let since = now.saturating_sub(cut_at).as_secs_f64();
        (GROWTH_AFTER_CUT + GROWTH_REGAINED * since * since).min(GROWTH_AT_FIRST)
    }
}
