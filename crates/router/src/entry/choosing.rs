//! Which sidecar is offered a request, and which request a pulling sidecar gets.

use std::time::Duration;

use coltsfootnotch_decide::route::{Candidate, Proximity, choose_upstream};
use coltsfootnotch_types::prelude::*;

use super::{EntryCore, PoolView, SidecarView, Waiting};

impl EntryCore {
    /// The sidecar to offer to: among those with a free slot one that holds the prefix, unless it is
    /// much busier than the others, then a near one.
    ///
    /// A call that may not be repeated is never offered: its slot is reserved by a pull before the
    /// intent is committed, and the pull's number lets it start once only.
    pub(super) fn offer_target(&self, waiting: &Waiting) -> Option<HostName> {
        let room = self.concurrency.room(&waiting.account);
        if !waiting.repeatable || room == 0 || self.waiting(&waiting.pool) > 0 {
            return None;
        }
        let open: Vec<(&HostName, &SidecarView, &PoolView)> = self
            .sidecars
            .iter()
            .filter(|(host, _)| !waiting.avoid.contains(host))
            .filter_map(|(host, view)| Some((host, view, view.pools.get(&waiting.pool)?)))
            .collect();
        let candidates: Vec<Candidate<'_>> = open
            .iter()
            .map(|(_, view, pool)| Candidate {
                upstream: &view.route,
                proximity: Proximity::between(&self.domain, &view.domain),
                usable: pool.usable.max(pool.free),
                in_flight: pool.usable.saturating_sub(pool.free),
            })
            .collect();
        let (prefix, now) = (waiting.prefix_key(), waiting.arrived);
        let chosen = choose_upstream(&candidates, prefix, &[], &self.prefixes, now)?;
        Some(open[chosen].0.clone())
    }

    /// Takes a request of an account for a sidecar that pulls.
    pub(super) fn take_for(
        &mut self,
        now: Duration,
        from: &HostName,
        pool: &PoolName,
        account: &AccountName,
    ) -> Option<Waiting> {
        if self.concurrency.room(account) == 0 {
            return None;
        }
        let view = self.sidecars.get(from)?;
        let sidecars = &self.sidecars;
        let allowed = |waiting: &Waiting| {
            waiting.deadline > now && may_run_at(sidecars.iter(), from, waiting)
        };
        let queue = self.queues.get_mut(pool)?;
        queue.take(account, allowed, &view.route, &self.prefixes, now)
    }
}

/// Whether a request may run at a host: it does not avoid it, or there is nowhere else.
///
/// With one sidecar left, a request that avoids it would otherwise wait until its deadline beside
/// free slots.
pub(super) fn may_run_at<'a>(
    sidecars: impl IntoIterator<Item = (&'a HostName, &'a SidecarView)>,
    host: &HostName,
    waiting: &Waiting,
) -> bool {
    if !waiting.avoid.contains(host) {
        return true;
    }
    let mut serving = sidecars
        .into_iter()
        .filter(|(_, view)| view.serves(&waiting.pool));
    serving.all(|(other, _)| waiting.avoid.contains(other))
}
