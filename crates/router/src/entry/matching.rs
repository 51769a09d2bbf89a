//! Matching of requests and sidecars: the target of an offer, and the request for a pull.

use std::time::Duration;

use coltsfootnotch_decide::route::{Candidate, Proximity, choose_upstream};
use coltsfootnotch_types::prelude::*;

use super::{EntryCore, PoolView, QueuedRequest, SidecarView};

impl EntryCore {
    /// The sidecar to offer a request to: among those with a free slot one that has the prefix
    /// cached, unless it is much busier than the others, then one in a near failure domain.
    ///
    /// A call that may not be repeated is never offered: a pull reserves its slot before the intent
    /// is committed, and the pull's number allows a single start.
    pub(super) fn offer_target(&self, waiting: &QueuedRequest) -> Option<HostName> {
        let headroom = self.concurrency.headroom(&waiting.account);
        if !waiting.repeatable || headroom == 0 || self.waiting_in(&waiting.pool) > 0 {
            return None;
        }
        let eligible: Vec<(&HostName, &SidecarView, &PoolView)> = self
            .sidecars
            .iter()
            .filter(|(host, _)| !waiting.avoid.contains(host))
            .filter_map(|(host, view)| Some((host, view, view.pools.get(&waiting.pool)?)))
            .collect();
        let candidates: Vec<Candidate<'_>> = eligible
            .iter()
            .map(|(_, view, pool)| Candidate {
                upstream: &view.routing_name,
                proximity: Proximity::between(&self.domain, &view.domain),
                usable: pool.usable.max(pool.free),
                in_flight: pool.usable.saturating_sub(pool.free),
            })
            .collect();
        let (prefix, now) = (waiting.prefix_key(), waiting.arrived);
        let chosen = choose_upstream(&candidates, prefix, &[], &self.prefixes, now)?;
        Some(eligible[chosen].0.clone())
    }

    /// Dequeues a request of an account for a sidecar that pulls.
    pub(super) fn take_for(
        &mut self,
        now: Duration,
        from: &HostName,
        pool: &PoolName,
        account: &AccountName,
    ) -> Option<QueuedRequest> {
        if self.concurrency.headroom(account) == 0 {
            return None;
        }
        let view = self.sidecars.get(from)?;
        let sidecars = &self.sidecars;
        let allowed = |waiting: &QueuedRequest| {
            waiting.deadline > now && can_run_at(sidecars.iter(), from, waiting)
        };
        let queue = self.queues.get_mut(pool)?;
        queue.take(account, allowed, &view.routing_name, &self.prefixes, now)
    }
}

/// Whether a request may run at a host: it does not avoid the host, or it avoids every sidecar of
/// its pool, where it could only wait until its deadline beside free slots.
pub(super) fn can_run_at<'a>(
    sidecars: impl IntoIterator<Item = (&'a HostName, &'a SidecarView)>,
    host: &HostName,
    waiting: &QueuedRequest,
) -> bool {
    if !waiting.avoid.contains(host) {
        return true;
    }
    let mut serving = sidecars
        .into_iter()
        .filter(|(_, view)| view.has_pool(&waiting.pool));
    serving.all(|(other, _)| waiting.avoid.contains(other))
}
