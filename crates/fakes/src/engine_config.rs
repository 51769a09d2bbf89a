//! Configuration and counters of a fake engine.

use std::time::Duration;

use coltsfootnotch_wire::announce::Capabilities;

use crate::announcer::AnnounceConfig;

/// Configuration of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Name of the upstream, unique in the fleet.
    pub name: String,
    /// Model that the engine serves.
    pub pool: String,
    /// Models and adapters loaded at the start; requests for others are refused with 404.
    pub models: Vec<String>,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Time from entering the batch to the first token, excluding prefill.
    pub first_token: Duration,
    /// Prefill time per prompt token that is not in the prefix cache.
    pub per_prompt_token: Duration,
    /// Time between tokens.
    pub time_per_token: Duration,
    /// Relative slowdown of the batch per request that waits in the engine, divided by the slots.
    pub queue_slowdown: f64,
    /// Capacity of the prefix cache, in prefixes.
    pub prefix_capacity: usize,
    /// Capabilities that the engine announces and implements.
    pub capabilities: Capabilities,
    /// Duration of an order to load a model.
    pub model_load: Duration,
    /// How long the port stays closed after a crash.
    pub down_after_crash: Duration,
    /// Minimum age of a reported load.
    pub load_lag: Duration,
    /// Minimum age of published cache events.
    pub cache_event_lag: Duration,
    /// Probability that a cache event is lost.
    pub cache_event_loss: f64,
    /// Seed for the loss of cache events.
    pub seed: u64,
    /// How the engine announces itself; `None` for no announcements.
    pub announce: Option<AnnounceConfig>,
}

impl EngineConfig {
    /// A small and fast engine: 8 slots, 5 ms to the first token, 2 ms between tokens.
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
            time_per_token: Duration::from_millis(2),
            queue_slowdown: 0.25,
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

/// Counters of a fake engine since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineStats {
    /// Number of slots in the batch.
    pub slots: u32,
    /// Requests currently in the batch.
    pub running: u32,
    /// Requests currently waiting in the engine.
    pub waiting: u32,
    /// Maximum number of requests that waited at the same time.
    pub max_waiting: u32,
    /// Time waited for a slot, summed over all requests.
    pub total_wait: Duration,
    /// Time in use, summed over all slots.
    pub busy_time: Duration,
    /// Time since the engine started.
    pub uptime: Duration,
    /// Requests that entered the batch.
    pub started: u64,
    /// Completed requests.
    pub finished: u64,
    /// Cancelled requests.
    pub cancelled: u64,
    /// Requests whose caller disconnected or that a crash aborted.
    pub abandoned: u64,
    /// Requests that resumed a stream.
    pub resumed: u64,
    /// Requests whose prefix was cached.
    pub cache_hits: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Refused requests.
    pub refused: u64,
    /// Crashes.
    pub crashes: u64,
    /// Orders applied.
    pub orders: u64,
    /// Orders refused for a stale fencing number.
    pub orders_refused: u64,
}
