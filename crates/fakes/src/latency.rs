//! The latency model of a fake engine.

use std::time::Duration;

use crate::slots::Occupancy;

/// Waiting requests per slot above which the batch is not slowed down further.
const MAX_WAITING_PER_SLOT: f64 = 4.0;

/// Latencies of an engine without waiting requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Latency {
    pub(crate) first_token: Duration,
    pub(crate) per_prompt_token: Duration,
    pub(crate) time_per_token: Duration,
    pub(crate) queue_slowdown: f64,
}

impl Latency {
    /// The slowdown factor of the batch for the requests that wait in the engine.
    ///
    /// Models the preemption and recomputation of a real engine that is short of cache memory.
    fn queue_factor(&self, occupancy: Occupancy, slots: u32) -> f64 {
        let waiting_per_slot = f64::from(occupancy.waiting) / f64::from(slots.max(1));
        1.0 + self.queue_slowdown * waiting_per_slot.min(MAX_WAITING_PER_SLOT)
    }

    /// Time from entering the batch to the first token; a cached prompt needs no prefill.
    pub(crate) fn prefill(
        &self,
        prompt_tokens: u32,
        cached: bool,
        occupancy: Occupancy,
        slots: u32,
    ) -> Duration {
        let uncached = if cached { 0 } else { prompt_tokens };
        let time = self.first_token + self.per_prompt_token * uncached;
        time.mul_f64(self.queue_factor(occupancy, slots))
    }

    /// Time between tokens.
    pub(crate) fn between_tokens(&self, occupancy: Occupancy, slots: u32) -> Duration {
        self.time_per_token
            .mul_f64(self.queue_factor(occupancy, slots))
    }
}
