//! How fast a stand-in engine works.

use std::time::Duration;

use crate::slots::Occupancy;

/// Requests waiting per slot beyond which the batch gets no slower.
const MAX_OVERFULL: f64 = 4.0;

/// Times of an engine with room in its batch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    pub(crate) first_token: Duration,
    pub(crate) per_prompt_token: Duration,
    pub(crate) token: Duration,
    pub(crate) overfull_slowdown: f64,
}

impl Pace {
    /// The factor by which a batch with requests waiting inside the engine is slower.
    ///
    /// Waiting requests cost a real engine memory that its batch would use: it preempts and
    /// recomputes, so it slows down just when it has most to do.
    fn overfull(&self, occupancy: Occupancy, slots: u32) -> f64 {
        let per_slot = f64::from(occupancy.waiting) / f64::from(slots.max(1));
        1.0 + self.overfull_slowdown * per_slot.min(MAX_OVERFULL)
    }

    /// Time from entering the batch to the first token; a cached prefix costs no computation.
    pub(crate) fn prefill(
        &self,
        prompt_tokens: u32,
        cached: bool,
        occupancy: Occupancy,
        slots: u32,
    ) -> Duration {
        let computed = if cached { 0 } else { prompt_tokens };
        let time = self.first_token + self.per_prompt_token * computed;
        time.mul_f64(self.overfull(occupancy, slots))
    }

    /// Time between tokens.
    pub(crate) fn between(&self, occupancy: Occupancy, slots: u32) -> Duration {
        self.token.mul_f64(self.overfull(occupancy, slots))
    }
}
