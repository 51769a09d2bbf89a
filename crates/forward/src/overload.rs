//! Detection of a host that has more than its even share of a balancer's callers.
//!
//! A balancer that spreads callers by hash can send one host of a failure domain many times its
//! even share, more than it can read, while the others are idle. Connections then wait, and what is
//! served is late.
//!
//! A host whose tasks wait long to be scheduled, and whose load is above its even share, hands a
//! share of its new connections over to its neighbours, which takes a fraction of the processor
//! time of serving them. If it has no neighbours to do so, or is busy with handing over, it reports
//! that it is not ready and asks callers to close their connections, so that the balancer sends
//! them to other hosts. Until the balancer reacts, it refuses the share of requests that it cannot
//! read in time, before any work on them. A fleet that is saturated everywhere stays ready, since
//! no host is above its even share.

use std::time::Duration;

/// Scheduling delay of a task from which a host counts as busy; a host that keeps up has some
/// milliseconds. At 40 ms a request that is scheduled five times is late by 200 ms.
const LONG_DELAY: Duration = Duration::from_millis(40);
/// How long it must be busy without a break; ignores single bursts.
const MIN_BUSY: Duration = Duration::from_millis(500);
/// Multiple of its even share from which a host is overloaded.
const OVERLOAD_RATIO: f64 = 2.0;
/// How long it is not ready. Balancers need two to three seconds per host to react, so callers see
/// some five hosts in this time before they may return. With less they alternate between the weakest
/// few and never come to a strong one.
const OVERLOAD_DURATION: Duration = Duration::from_secs(20);

/// Steps by which the refused share grows with each long delay and shrinks with each short one. With a
/// measurement each 100 ms a host at twice what it can read returns to short delays within a second, and
/// reads everything again two seconds after its callers have left.
const REFUSAL_INCREASE: f64 = 0.10;
const REFUSAL_DECREASE: f64 = 0.05;
/// Steps by which the share of connections that are handed over grows with each long delay and
/// shrinks with each short one. It shrinks slowly: callers that press on a host do so for seconds,
/// and each return to serving them costs as long a delay.
const HANDOVER_INCREASE: f64 = 0.5;
const HANDOVER_DECREASE: f64 = 0.01;
/// Share below which nothing is handed over.
const MIN_HANDOVER_SHARE: f64 = 0.1;

/// Greatest refused share, so that a host never stops serving on its own measurement alone.
const MAX_REFUSED_SHARE: f64 = 0.90;

/// Detects that callers are better served by another host.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::overload::Overload;
/// let at = Duration::from_millis;
/// let mut overload = Overload::default();
/// for now in (100..1_000).step_by(100) {
///     overload.observe(at(now), at(200), 5.0, false);
/// }
/// assert!(overload.is_overloaded(at(1_000)));
/// overload.observe(at(21_000), at(1), 0.0, false);
/// assert!(!overload.is_overloaded(at(21_000)), "the time is over");
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Overload {
    busy_since: Option<Duration>,
    overloaded_until: Duration,
    refused_share: f64,
    handover_share: f64,
}

impl Overload {
    /// Records that a task waited `waited` to be scheduled while the host's load is `load_ratio`
    /// times its even share. `has_neighbours` tells whether neighbours take connections over.
    pub fn observe(
        &mut self,
        now: Duration,
        waited: Duration,
        load_ratio: f64,
        has_neighbours: bool,
    ) {
        if !has_neighbours {
            self.handover_share = 0.0;
        }
        if waited < LONG_DELAY {
            self.busy_since = None;
            self.refused_share = (self.refused_share - REFUSAL_DECREASE).max(0.0);
            self.shrink_handover();
            return;
        }
        // Requests that are refused or handed over are not counted in the load, so a host that does
        // either goes by its delays alone.
        let is_above_share = load_ratio >= OVERLOAD_RATIO || self.handover_share > 0.0;
        let can_hand_over_more = has_neighbours && self.handover_share < 1.0;
        if is_above_share && can_hand_over_more {
            self.handover_share = (self.handover_share + HANDOVER_INCREASE).min(1.0);
            return;
        }
        if is_above_share || self.is_overloaded(now) {
            self.refused_share = (self.refused_share + REFUSAL_INCREASE).min(MAX_REFUSED_SHARE);
        }
        let since = *self.busy_since.get_or_insert(now);
        if now.saturating_sub(since) >= MIN_BUSY && is_above_share {
            self.overloaded_until = now + OVERLOAD_DURATION;
        }
    }

    fn shrink_handover(&mut self) {
        self.handover_share -= HANDOVER_DECREASE;
        if self.handover_share < MIN_HANDOVER_SHARE {
            self.handover_share = 0.0;
        }
    }

    /// Share of new connections that is handed over to neighbours.
    #[must_use]
    pub fn handover_share(&self) -> f64 {
        self.handover_share
    }

    /// Share of requests that is refused before they are read.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        self.refused_share
    }

    /// Whether callers are sent to another host.
    #[must_use]
    pub fn is_overloaded(&self, now: Duration) -> bool {
        now < self.overloaded_until
    }
}
