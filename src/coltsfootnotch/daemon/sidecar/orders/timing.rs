//! How long loads, orders and their leases take, from the manifest.
//!
//! Load pattern answered: a new version wants weights on every engine of a model at once. The store
//! has as many permits as it allows loads; a permit is kept for as long as the store needs at its
//! stated rate, also when the engine was faster, so that neither the number of loads nor the rate is
//! exceeded over the whole fleet.

use std::time::Duration;

use coltsfootnotch_manifest::WeightStore;
use coltsfootnotch_state::FencingMode;

/// What an order takes besides its load.
const ORDER_OVERHEAD: Duration = Duration::from_secs(5);
/// Longest order to an engine that checks numbers: nothing waits for its end.
const LONGEST_ORDER: Duration = Duration::from_secs(3600);
/// Longest order to an engine that ignores numbers. Its lease lasts twice as long, and the log
/// grants 600 s at most.
const LONGEST_UNFENCED: Duration = Duration::from_secs(290);
/// Lease for orders to an engine that checks numbers: what a new holder waits for after a crash.
const FENCED_TTL: Duration = Duration::from_secs(10);
/// Shortest lease of a permit: renewals of a third of it survive an election.
const SHORTEST_PERMIT: Duration = Duration::from_secs(10);
/// Longest lease that the log grants.
const LONGEST_LEASE: Duration = Duration::from_secs(600);
/// Rounds of questions that all who wait for a permit make together while one load takes its time:
/// a free permit is found after an eighth of that on average, and the log is asked no more often
/// when more engines wait.
const ROUNDS_PER_LOAD: u32 = 8;
/// Shortest pause after all permits were found taken.
const SHORTEST_REST: Duration = Duration::from_millis(250);
/// Longest such pause: what the last who wait may leave the store idle. 600 engines that wait for
/// one of four permits ask 240 times a second together, a few hundredths of what the log commits.
const LONGEST_REST: Duration = Duration::from_secs(10);

/// What an order loads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Load {
    /// Its size.
    pub(super) megabytes: u64,
    /// Replicas that load it, perhaps all at once.
    pub(super) replicas: u32,
}

/// Times of one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Timing {
    /// For how long the permit is kept from the start of the load.
    pub(super) pace: Duration,
    /// The order is aborted after this.
    pub(super) timeout: Duration,
    /// Lease under which the order is given.
    pub(super) orders_ttl: Duration,
    /// Lease of the permit. Twice the time planned, so that a load which its sidecar can't renew any
    /// more has most likely ended before the permit goes to another.
    pub(super) permit_ttl: Duration,
    /// Pause after all permits were found taken.
    pub(super) rest: Duration,
}

impl Timing {
    /// The times for a load; none of its megabytes for an order that loads nothing.
    pub(super) fn new(store: WeightStore, load: Load, is_fenced: bool) -> Self {
        let pace = store.load_time(load.megabytes.saturating_mul(u64::from(store.loads)));
        let longest = match is_fenced {
            true => LONGEST_ORDER,
            false => LONGEST_UNFENCED,
        };
        let timeout = pace
            .saturating_mul(2)
            .saturating_add(ORDER_OVERHEAD)
            .min(longest);
        let orders_ttl = match is_fenced {
            true => FENCED_TTL,
            false => timeout * 2,
        };
        Self {
            pace,
            timeout,
            orders_ttl,
            permit_ttl: pace.saturating_mul(2).clamp(SHORTEST_PERMIT, LONGEST_LEASE),
            rest: (pace / ROUNDS_PER_LOAD)
                .saturating_mul(load.replicas)
                .clamp(SHORTEST_REST, LONGEST_REST),
        }
    }

    /// How the engine is protected from an earlier holder.
    pub(super) fn guard(&self, is_fenced: bool) -> FencingMode {
        match is_fenced {
            true => FencingMode::Numbers,
            false => FencingMode::Wait {
                order_timeout: self.timeout,
            },
        }
    }
}
