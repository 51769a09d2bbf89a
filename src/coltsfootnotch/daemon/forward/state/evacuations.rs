//! Evacuated failure domains, and refusals that they cause.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::place::{Refusal, RefusalReason, distance};
use coltsfootnotch_forward::registry::{Announcement, EvacuationChange};

use super::State;
use crate::daemon::forward::messages::{AccountShare, PlaceRequest, PlacementError};

/// Time for which the upstreams of a domain count as cold after its evacuation ends. They may have
/// lost their caches meanwhile, and their next announcements, one in each 1.2 s, say so late.
const RETURN_WARM_UP: Duration = Duration::from_millis(2_500);

/// `Retry-After` while all upstreams of a service are in evacuated domains. Operators end an
/// evacuation in seconds at the earliest.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl State {
    /// Applies a report of the evacuated domains; returns what it changed.
    pub(in crate::daemon::forward) fn on_evacuations(
        &mut self,
        now: Duration,
        revision: u64,
        domains: impl IntoIterator<Item = Arc<str>>,
    ) -> Option<EvacuationChange> {
        let change = self.evacuated.apply(revision, domains)?;
        for upstream in self.registry.all() {
            let Announcement {
                id,
                born_ms,
                domain,
                ..
            } = &upstream.announcement;
            if change.ended.contains(domain) {
                let phase = distance(self.entry_key, id);
                let load = self.loads.entry(id, *born_ms);
                load.warm_up.announce(now, RETURN_WARM_UP, phase);
            }
        }
        Some(change)
    }

    /// The error for a refused request, with the share of its account.
    pub(super) fn refused(
        &mut self,
        now: Duration,
        req: &PlaceRequest,
        refusal: Refusal,
    ) -> PlacementError {
        let service = &req.config.services()[req.service].name;
        let account = req.account.as_ref();
        let share = account.and_then(|account| {
            Some(AccountShare {
                pressure: self.shares.pressure(now, account)?,
                fraction: self.shares.fair_fraction(now, account),
                age: now.saturating_sub(self.remote_at),
            })
        });
        PlacementError::Refused(self.explain(service, refusal), share)
    }

    /// Replaces the refusal for want of an upstream if there are some in evacuated domains.
    fn explain(&self, service: &str, refusal: Refusal) -> Refusal {
        let is_evacuated = refusal.reason == RefusalReason::NoUpstream
            && self.registry.ready(service).next().is_some()
            && self.available_share(service) == 0.0;
        if !is_evacuated {
            return refusal;
        }
        Refusal {
            reason: RefusalReason::Evacuated,
            retry_after: EVACUATED_RETRY_AFTER,
            ..refusal
        }
    }

    /// Share of the service's ready upstreams outside evacuated domains; 1 without any.
    pub(super) fn available_share(&self, service: &str) -> f64 {
        if self.evacuated.is_empty() {
            return 1.0;
        }
        let (mut ready, mut available) = (0, 0);
        for upstream in self.registry.ready(service) {
            ready += 1;
            available += u32::from(!self.evacuated.contains(&upstream.announcement.domain));
        }
        f64::from(available) / f64::from(ready.max(1))
    }
}
