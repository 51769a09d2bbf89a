//! Durations of loads, orders and their leases, computed from the manifest.
//!
//! A new version is loaded by every engine of a model at once. The weight store has one permit for
//! each concurrent load that it allows. A permit is held for the load time at the stated rate, even
//! if the engine loads faster, so that the fleet exceeds neither the number of loads nor the rate.

use std::time::Duration;

use coltsfootnotch_manifest::WeightStore;
use coltsfootnotch_state::FencingMode;

/// Time that an order takes besides its load.
const ORDER_OVERHEAD: Duration = Duration::from_secs(5);
/// Maximum timeout of an order to an engine that checks fencing numbers; no holder waits for it.
const MAX_ORDER_TIMEOUT: Duration = Duration::from_secs(3600);
/// Maximum timeout of an order to an engine that ignores fencing numbers. The lease lasts twice as
/// long, which stays below [`MAX_LEASE_TTL`].
const MAX_UNFENCED_TIMEOUT: Duration = Duration::from_secs(290);
/// Order lease for an engine that checks fencing numbers; after a crash a new holder waits for it.
const FENCED_LEASE_TTL: Duration = Duration::from_secs(10);
/// Minimum lease of a permit: it is renewed after a third, so it outlasts an election.
const MIN_PERMIT_TTL: Duration = Duration::from_secs(10);
/// Maximum lease that the log grants.
const MAX_LEASE_TTL: Duration = Duration::from_secs(600);
/// Rounds of permit requests that all waiting engines together make during one load. The delay
/// grows with the number of engines, so the load on the log doesn't.
const CLAIM_ROUNDS_PER_LOAD: u32 = 8;
/// Minimum delay after all permits were refused.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay after all permits were refused. It bounds how long the store stays idle.
/// With 600 engines and four permits the log gets 240 requests a second, a few percent of its rate.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// The weights that an order loads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Load {
    /// Size in megabytes.
    pub(super) megabytes: u64,
    /// Number of replicas that load them, possibly all at once.
    pub(super) replicas: u32,
}

/// Durations of one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Timing {
    /// Time from the start of the load for which the permit is held.
    pub(super) load_time: Duration,
    /// Time after which the order is aborted.
    pub(super) timeout: Duration,
    /// Lease under which the order is sent.
    pub(super) order_lease_ttl: Duration,
    /// Lease of the permit: twice the load time, so that a load whose sidecar can no longer renew
    /// the permit has most likely finished before another process is granted it.
    pub(super) permit_ttl: Duration,
    /// Delay after all permits were refused.
    pub(super) retry_delay: Duration,
}

impl Timing {
    /// Computes the durations of an order; one that loads nothing has a load of zero megabytes.
    pub(super) fn new(store: WeightStore, load: Load, is_fenced: bool) -> Self {
        let load_time = store.load_time(load.megabytes.saturating_mul(u64::from(store.loads)));
        let max_timeout = match is_fenced {
            true => MAX_ORDER_TIMEOUT,
            false => MAX_UNFENCED_TIMEOUT,
        };
        let timeout = load_time
            .saturating_mul(2)
            .saturating_add(ORDER_OVERHEAD)
            .min(max_timeout);
        let order_lease_ttl = match is_fenced {
            true => FENCED_LEASE_TTL,
            false => timeout * 2,
        };
        Self {
            load_time,
            timeout,
            order_lease_ttl,
            permit_ttl: load_time
                .saturating_mul(2)
                .clamp(MIN_PERMIT_TTL, MAX_LEASE_TTL),
            retry_delay: (load_time / CLAIM_ROUNDS_PER_LOAD)
                .saturating_mul(load.replicas)
                .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }

    /// How the engine is protected from orders of an earlier holder.
    pub(super) fn fencing_mode(&self, is_fenced: bool) -> FencingMode {
        match is_fenced {
            true => FencingMode::Numbers,
            false => FencingMode::Wait {
                order_timeout: self.timeout,
            },
        }
    }
}
