//! Periodic work: announcements, and the exchange of service totals.

use std::time::Duration;

use coltsfootnotch_decide::window::WindowTargets;
use coltsfootnotch_router::UpstreamUpdate;
use coltsfootnotch_types::prelude::*;

use super::Sim;

/// Validity of an announcement.
const TTL: Duration = Duration::from_secs(2);

impl Sim {
    pub(super) fn announce(&mut self) {
        let now = self.now;
        for sidecar in &mut self.sidecars {
            let engine = &mut sidecar.engine;
            if engine.silent.is_some() {
                continue;
            }
            engine.announced = engine.pool.clone();
            let update = UpstreamUpdate {
                live_until: now + TTL,
                leaving: engine.leaving.is_some(),
                queued: engine.queue.len() as u32,
                reported: now,
                targets: WindowTargets::model(),
            };
            let upstreams = sidecar.core.upstreams_mut();
            upstreams.apply_announcement(now, engine.name.clone(), engine.pool.clone(), update);
        }
    }

    /// Sends each sidecar the service totals of the others, as of the last round, and collects new
    /// service.
    pub(super) fn relay(&mut self) {
        for sidecar in self.sidecars.iter_mut().filter(|s| s.has_relay) {
            let reported = &sidecar.reported_service;
            let remote = self.totals.iter().map(|(account, total)| {
                let reported = reported.get(account).copied().unwrap_or_default();
                (account, ServiceUnits(total.0.saturating_sub(reported.0)))
            });
            sidecar.core.fair_ledger_mut().merge_remote(remote);
        }
        for sidecar in self.sidecars.iter_mut().filter(|s| s.has_relay) {
            for (account, units) in sidecar.core.fair_ledger_mut().take_unsent() {
                *self.totals.entry(account.clone()).or_default() += units;
                *sidecar.reported_service.entry(account).or_default() += units;
            }
        }
    }
}
