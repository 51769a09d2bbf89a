//! Evacuated failure domains.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::place::distance;
use coltsfootnotch_forward::registry::{Announcement, EvacuationChange};

use super::State;

/// Time for which the upstreams of a domain count as cold after its evacuation ends. They may have
/// lost their caches meanwhile, and their next announcements, one in each 1.2 s, say so late.
const RETURN_WARM_UP: Duration = Duration::from_millis(2_500);

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
