//! How a stand-in engine is made, and what it counts.

use std::time::Duration;

use coltsfootnotch_wire::announce::Capabilities;

use crate::announcer::AnnounceConfig;

/// How a stand-in engine is made.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Name of the upstream, unique in the fleet.
    pub name: String,
    /// Model that it serves.
    pub pool: String,
    /// Models and adapters loaded at the start; requests for others are refused with 404.
    pub models: Vec<String>,
    /// Requests in the batch at a time.
    pub slots: u32,
    /// Time from entering the batch to the first token, without the prompt's own cost.
    pub first_token: Duration,
    /// Further time for each prompt token that is not in the prefix cache.
    pub per_prompt_token: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// How much slower the batch gets for each request that waits inside, per slot.
    pub overfull_slowdown: f64,
    /// Prefixes that the cache holds.
    pub prefix_capacity: usize,
    /// What the engine can do; orders and resumes follow it.
    pub capabilities: Capabilities,
    /// Time that an order to load a model takes.
    pub model_load: Duration,
    /// How long the port stays closed after a crash.
    pub down_after_crash: Duration,
    /// Least age of the load that is reported.
    pub load_lag: Duration,
    /// Least age of the cache events that are published.
    pub cache_event_lag: Duration,
    /// Probability that a cache event is lost.
    pub cache_event_loss: f64,
    /// Seed of the losses.
    pub seed: u64,
    /// Where the engine announces itself, if it does.
    pub announce: Option<AnnounceConfig>,
}

impl EngineConfig {
    /// A small fast engine: 8 slots, 5 ms to the first token, 2 ms between tokens.
    #[must_use]
    pub fn new(name: impl Into<String>, pool: impl Into<String>) -> Self {
        let pool = pool.into();
        Self {
            name: name.into(),
            models: vec![pool.clone()],
            pool,
            slots: 8,
            first_token: Duration::from_millis(5),
            per_prompt_token: Duration::from_micros(10),
            token: Duration::from_millis(2),
            overfull_slowdown: 0.25,
            prefix_capacity: 64,
            capabilities: Capabilities {
                resume: true,
                cancel: true,
                kv_transfer: true,
                fenced: true,
            },
            model_load: Duration::from_millis(100),
            down_after_crash: Duration::from_secs(1),
            load_lag: Duration::from_millis(500),
            cache_event_lag: Duration::from_millis(500),
            cache_event_loss: 0.05,
            seed: 1,
            announce: None,
        }
    }
}

/// What a stand-in engine has done since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineStats {
    /// Slots of the batch.
    pub slots: u32,
    /// Requests in the batch now.
    pub running: u32,
    /// Requests waiting inside the engine now.
    pub waiting: u32,
    /// Most requests that ever waited inside.
    pub most_waiting: u32,
    /// Time that requests waited inside for a slot, summed over the requests.
    pub waited: Duration,
    /// Slot time in use, summed over the slots.
    pub busy: Duration,
    /// Time since the engine started.
    pub up: Duration,
    /// Requests that entered the batch.
    pub started: u64,
    /// Requests answered whole.
    pub finished: u64,
    /// Requests ended by a cancel.
    pub cancelled: u64,
    /// Requests whose caller went away or that a crash ended.
    pub abandoned: u64,
    /// Requests that resumed a stream.
    pub resumed: u64,
    /// Requests whose prefix was cached.
    pub cache_hits: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Crashes.
    pub crashes: u64,
    /// Orders obeyed.
    pub orders: u64,
    /// Orders refused for an old fencing number.
    pub orders_refused: u64,
}
