//! How far apart two backlogged accounts of a pool can drift in service per weight.

use std::time::Duration;

use coltsfootnotch_types::{ServiceUnits, Weight};

use super::VirtualService;

/// Horizon in multiples of the bound. Accounts are drawn together to half the horizon, which must
/// stay above the bound, or ordinary operation would be cut short; twice that leaves room for the
/// bound being measured on one pool and reached from both sides.
const HORIZON_IN_BOUNDS: u64 = 4;

/// What the fairness bound of one pool depends on.
///
/// A run starts for account A only on a host where A stands no higher than the waiting account B.
/// That view can miss two things: what runs in progress have yet to use, at most the largest request
/// in each slot, and service given elsewhere since the last word of it, at most the rate of every
/// slot over the age of that word. So neither account leads by more than
/// `slots * (largest + slot_rate * age) / weight`, and over a window in which both are backlogged
/// the difference in service per weight changes by at most twice that, at the smaller weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairnessBound {
    /// Service of the largest request.
    pub largest: ServiceUnits,
    /// Slots of all upstreams of the pool.
    pub slots: u32,
    /// Service that one slot gives in a second.
    pub slot_rate: ServiceUnits,
    /// How old a host's knowledge of service and waiting work elsewhere can be.
    pub age: Duration,
}

impl FairnessBound {
    /// Largest difference in service per weight, over any window in which accounts of weights `a`
    /// and `b` are both backlogged in the pool.
    #[must_use]
    pub fn gap(&self, a: Weight, b: Weight) -> VirtualService {
        self.gap_after(a, b, 0)
    }

    /// The same when `restarts` sidecars of the pool lost their state within the window.
    ///
    /// A sidecar that restarts takes all accounts as level where they stand, so it forgets a lead of
    /// that moment, and another lead may build up on top of it: each restart adds one lead at most.
    /// While other sidecars of the pool remember, they make up for it.
    #[must_use]
    pub fn gap_after(&self, a: Weight, b: Weight, restarts: u32) -> VirtualService {
        let leads = 2 + u64::from(restarts);
        VirtualService::of(ServiceUnits(leads * self.lead()), a.min(b))
    }

    /// The distance at which waiting accounts are drawn together, in units at weight 1.
    #[must_use]
    pub fn horizon(&self) -> ServiceUnits {
        let bound = 2 * self.lead();
        ServiceUnits(HORIZON_IN_BOUNDS * bound)
    }

    /// Service that one account can be ahead by.
    fn lead(&self) -> u64 {
        let unheard = self.slot_rate.0 as f64 * self.age.as_secs_f64();
        u64::from(self.slots) * (self.largest.0 + unheard.ceil() as u64)
    }
}

/// The bound for two accounts of weight 1, in units.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::fair::fairness_bound;
/// use coltsfootnotch_types::ServiceUnits;
/// let age = Duration::from_millis(500);
/// let bound = fairness_bound(ServiceUnits(4_000), 64, ServiceUnits(40), age);
/// assert_eq!(bound, ServiceUnits(2 * 64 * (4_000 + 20)));
/// ```
#[must_use]
pub fn fairness_bound(
    largest: ServiceUnits,
    slots: u32,
    slot_rate: ServiceUnits,
    age: Duration,
) -> ServiceUnits {
    let bound = FairnessBound {
        largest,
        slots,
        slot_rate,
        age,
    };
    bound.gap(Weight::DEFAULT, Weight::DEFAULT).to_units()
}
