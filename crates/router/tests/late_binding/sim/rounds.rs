//! What comes round and round: announcements, and the exchange of service.

use std::time::Duration;

use coltsfootnotch_decide::window::WindowTargets;
use coltsfootnotch_router::UpstreamUpdate;
use coltsfootnotch_types::prelude::*;

use super::Sim;

/// An announcement holds for this long.
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
            let news = UpstreamUpdate {
                live_until: now + TTL,
                leaving: engine.leaving.is_some(),
                queued: engine.queue.len() as u32,
                reported: now,
                targets: WindowTargets::model(),
            };
            let upstreams = sidecar.core.upstreams_mut();
            upstreams.apply_announcement(now, engine.name.clone(), engine.pool.clone(), news);
        }
    }

    /// Collects service given and tells each sidecar the totals of the others, as of the last round.
    pub(super) fn relay(&mut self) {
        for sidecar in self.sidecars.iter_mut().filter(|s| s.relayed) {
            let own = &sidecar.told_relay;
            let elsewhere = self.totals.iter().map(|(account, total)| {
                let own = own.get(account).copied().unwrap_or_default();
                (account, ServiceUnits(total.0.saturating_sub(own.0)))
            });
            sidecar.core.fair_ledger_mut().learn_elsewhere(elsewhere);
        }
        for sidecar in self.sidecars.iter_mut().filter(|s| s.relayed) {
            for (account, units) in sidecar.core.fair_ledger_mut().take_unsent() {
                *self.totals.entry(account.clone()).or_default() += units;
                *sidecar.told_relay.entry(account).or_default() += units;
            }
        }
    }
}
