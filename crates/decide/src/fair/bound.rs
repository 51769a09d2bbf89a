//! Bound on the difference in service per weight between two backlogged accounts of a pool.

use std::time::Duration;

use coltsfootnotch_types::{ServiceUnits, Weight};

use super::VirtualService;

/// Horizon in multiples of the bound. Half the horizon must stay above the bound, or accounts
/// within it are moved.
const HORIZON_IN_BOUNDS: u64 = 4;

/// Parameters of the fairness bound of one pool.
///
/// A run of account A starts only on a host where A has no more virtual service than the waiting
/// account B. That host may not yet count the rest of the runs in progress, at most the largest
/// request in each slot, and remote service since the last update, at most the rate of every slot
/// over the age of that update. So neither account leads by more than
/// `slots * (largest + slot_rate * staleness) / weight`, and over a window in which both are
/// backlogged the difference in service per weight changes by at most twice that, at the smaller
/// weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairnessBound {
    /// Service of the largest request.
    pub largest: ServiceUnits,
    /// Number of slots of all upstreams of the pool.
    pub slots: u32,
    /// Service that one slot gives in a second.
    pub slot_rate: ServiceUnits,
    /// Largest age of a host's information on the service and backlog of other hosts.
    pub staleness: Duration,
}

impl FairnessBound {
    /// Largest difference in service per weight over any window in which accounts of weights `a`
    /// and `b` are both backlogged.
    #[must_use]
    pub fn gap(&self, a: Weight, b: Weight) -> VirtualService {
        self.gap_with_restarts(a, b, 0)
    }

    /// Like [`gap`](Self::gap), when `restarts` sidecars of the pool lost their state in the
    /// window.
    ///
    /// A restarted sidecar starts all accounts level and so drops the current lead, which can build
    /// up again: each restart adds at most one lead.
    #[must_use]
    pub fn gap_with_restarts(&self, a: Weight, b: Weight, restarts: u32) -> VirtualService {
        let leads = 2 + u64::from(restarts);
        VirtualService::of(ServiceUnits(leads * self.lead()), a.min(b))
    }

    /// Largest difference that waiting accounts may keep, in units at weight 1.
    #[must_use]
    pub fn horizon(&self) -> ServiceUnits {
        let bound = 2 * self.lead();
        ServiceUnits(HORIZON_IN_BOUNDS * bound)
    }

    /// Largest lead of one account, in units at weight 1.
    fn lead(&self) -> u64 {
        let unreported = self.slot_rate.0 as f64 * self.staleness.as_secs_f64();
        u64::from(self.slots) * (self.largest.0 + unreported.ceil() as u64)
    }
}

/// [`FairnessBound::gap`] for two accounts of weight 1, in units.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::fair::fairness_bound;
/// use coltsfootnotch_types::ServiceUnits;
/// let staleness = Duration::from_millis(500);
/// let bound = fairness_bound(ServiceUnits(4_000), 64, ServiceUnits(40), staleness);
/// assert_eq!(bound, ServiceUnits(2 * 64 * (4_000 + 20)));
/// ```
#[must_use]
pub fn fairness_bound(
    largest: ServiceUnits,
    slots: u32,
    slot_rate: ServiceUnits,
    staleness: Duration,
) -> ServiceUnits {
    let bound = FairnessBound {
        largest,
        slots,
        slot_rate,
        staleness,
    };
    bound.gap(Weight::DEFAULT, Weight::DEFAULT).to_units()
}
