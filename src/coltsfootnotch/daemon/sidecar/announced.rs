//! What the actor does with announcements and orders.

use std::time::Duration;

use coltsfootnotch_decide::window::WindowTargets;
use coltsfootnotch_router::UpstreamUpdate;
use coltsfootnotch_state::ProcessId;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::announce::Announcement;

use super::actor::{SidecarActor, SidecarMsg};
use super::orders::{self, OrderEnd};
use super::upstreams::Announced;
use crate::core::HostCx;
use crate::util::events;

/// Time in which a plain service should answer; beyond it, it is let hold less.
const SERVICE_LATENCY: Duration = Duration::from_millis(250);

impl SidecarActor {
    pub(super) fn on_announced(&mut self, announcement: &Announcement) {
        let now = self.cx.now();
        let name = &announcement.name;
        match self
            .upstreams
            .announce(announcement, self.cfg.limits.upstreams)
        {
            Announced::TooMany => return,
            Announced::New => self.cx.log(
                &events::UPSTREAM_ANNOUNCED,
                &[
                    ("upstream", name),
                    ("pool", &announcement.pool),
                    ("address", &announcement.address),
                ],
            ),
            Announced::Leaving => self
                .cx
                .log(&events::UPSTREAM_LEAVING, &[("upstream", name)]),
            Announced::Same => {}
        }
        let cached = self.upstreams.cached(announcement);
        self.core.add_cached_prefixes(&announcement.pool, &cached);
        self.orders.announced(now, announcement);
        let update = UpstreamUpdate {
            live_until: now + announcement.ttl,
            leaving: announcement.leaving || !self.serves_pool(announcement),
            queued: announcement.load.waiting,
            reported: now.saturating_sub(Duration::from_millis(announcement.load.age_ms)),
            targets: self.targets(&announcement.pool),
        };
        let pool = announcement.pool.clone();
        self.core
            .upstreams_mut()
            .apply_announcement(now, name.clone(), pool, update);
    }

    /// What the windows of a pool aim at.
    fn targets(&self, pool: &PoolName) -> WindowTargets {
        let config = self.relay.config();
        match config.and_then(|config| config.model(pool.as_str())) {
            Some(model) => WindowTargets {
                first_token: model.targets.first_token(),
                token_gap: Some(model.targets.between_tokens()),
            },
            None => WindowTargets::service(SERVICE_LATENCY),
        }
    }

    /// Whether the upstream has what its pool needs. An engine that waits for an order to load it
    /// would answer every request with an error.
    fn serves_pool(&self, announcement: &Announcement) -> bool {
        let config = self.relay.config();
        let model = config.and_then(|config| config.model(announcement.pool.as_str()));
        model.is_none_or(|model| orders::serves(model, &announcement.models))
    }

    /// Sends the orders that are due.
    pub(super) fn give_orders(&mut self, now: Duration) {
        let config = self.relay.config().cloned();
        let relay = &mut self.relay;
        let propose = |command| relay.propose(command);
        for (upstream, call) in self.orders.tick(now, config.as_deref(), propose) {
            self.cx.log(
                &events::ORDER_SENT,
                &[
                    ("upstream", &upstream),
                    ("order", &call.order),
                    ("name", &call.value),
                    ("fence", &call.fence),
                ],
            );
            let tx = self.tx.clone();
            self.cx.runtime.spawn_blocking(move || {
                let end = call.run();
                tx.send(SidecarMsg::OrderEnded { upstream, end });
            });
        }
    }

    /// An order has ended.
    pub(super) fn on_order_ended(&mut self, upstream: &UpstreamName, end: OrderEnd) {
        let Some(ended) = self.orders.ended(self.cx.now(), upstream, end) else {
            return;
        };
        if ended.changes_version {
            let now = self.cx.now();
            let slots = self.core.upstreams_mut().get_mut(upstream);
            slots
                .into_iter()
                .for_each(|slots| slots.on_version_change(now));
        }
        let event = match end {
            OrderEnd::Done => &events::ORDER_COMPLETED,
            OrderEnd::OldNumber => &events::ORDER_REFUSED,
            OrderEnd::Status(_) | OrderEnd::NoAnswer => &events::ORDER_FAILED,
        };
        self.cx.log(
            event,
            &[
                ("upstream", &ended.upstream),
                ("name", &ended.name),
                ("fence", &ended.fence),
                ("end", &ended.end),
            ],
        );
    }
}

/// This process, as the log knows the holder of a lease.
pub(super) fn process_id(cx: &HostCx) -> ProcessId {
    ProcessId {
        host: cx.identity.host.clone(),
        incarnation: cx.identity.incarnation,
    }
}
