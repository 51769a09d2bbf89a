//! Prefill rates of engines, from the capacity that the operator states.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootnotch_forward::config::ServiceConfig;
use coltsfootnotch_forward::place::PrefillRate;

/// Time to the first event of a fully cached prompt: the engine's overhead, the network, and the
/// step in progress.
const BASE_LATENCY_MS: f64 = 35.0;

/// Ratio of an engine's prefill rate to its part of the capacity that the operator states, which
/// also counts output tokens.
const PREFILL_RATIO: f64 = 1.25;
/// Prefill rate of an engine in tokens per millisecond if the operator states no capacity.
const DEFAULT_PREFILL_RATE: f64 = 25.0;

/// Number of engines that the stated capacity is shared by.
#[derive(Debug, Default)]
pub(super) struct EngineRates {
    /// Most engines of each service that were ready at once. The capacity that the operator states
    /// includes engines that are down at the moment.
    max_ready: HashMap<Arc<str>, usize>,
}

impl EngineRates {
    /// Records how many engines of the service are ready.
    pub(super) fn record_ready(&mut self, service: Arc<str>, engines: usize) {
        let most = self.max_ready.entry(service).or_default();
        *most = engines.max(*most);
    }

    /// Prefill rate of a healthy engine of the service.
    pub(super) fn prefill_rate(&self, config: &ServiceConfig, service: &str) -> PrefillRate {
        let engines = self.max_ready.get(service).copied().unwrap_or(0);
        let stated = config.units_per_s();
        let per_engine = stated.map(|units| units * PREFILL_RATIO / 1e3 / engines.max(1) as f64);
        PrefillRate {
            tokens_per_ms: per_engine.unwrap_or(DEFAULT_PREFILL_RATE).max(1.0),
            base_ms: BASE_LATENCY_MS,
        }
    }
}
