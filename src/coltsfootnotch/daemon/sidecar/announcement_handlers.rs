//! Handlers of the actor for announcements of upstreams and for orders to engines.

use std::time::Duration;

use coltsfootnotch_decide::window::WindowTargets;
use coltsfootnotch_router::UpstreamUpdate;
use coltsfootnotch_state::ProcessId;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::announce::Announcement;

use super::actor::{SidecarActor, SidecarMsg};
use super::orders::{self, OrderOutcome};
use super::upstream_table::AnnouncementEffect;
use crate::core::HostCx;
use crate::util::events;

/// Target latency of a plain service; above it the window of the service shrinks.
const SERVICE_LATENCY: Duration = Duration::from_millis(250);

impl SidecarActor {
    pub(super) fn on_announcement(&mut self, announcement: &Announcement) {
        let now = self.cx.now();
        let name = &announcement.name;
        match self
            .upstreams
            .apply_announcement(announcement, self.cfg.limits.upstreams)
        {
            AnnouncementEffect::LimitReached => return,
            AnnouncementEffect::Added => self.cx.log(
                &events::UPSTREAM_ANNOUNCED,
                &[
                    ("upstream", name),
                    ("pool", &announcement.pool),
                    ("address", &announcement.address),
                ],
            ),
            AnnouncementEffect::StartedLeaving => self
                .cx
                .log(&events::UPSTREAM_LEAVING, &[("upstream", name)]),
            AnnouncementEffect::Unchanged => {}
        }
        let digests = self.upstreams.new_cached_prefixes(announcement);
        self.core.add_cached_prefixes(&announcement.pool, &digests);
        self.orders.on_announcement(now, announcement);
        let update = UpstreamUpdate {
            live_until: now + announcement.ttl,
            leaving: announcement.leaving || !self.serves_pool(announcement),
            queued: announcement.load.waiting,
            reported: now.saturating_sub(Duration::from_millis(announcement.load.age_ms)),
            targets: self.window_targets(&announcement.pool),
        };
        let pool = announcement.pool.clone();
        self.core
            .upstreams_mut()
            .apply_announcement(now, name.clone(), pool, update);
    }

    /// Latency targets for the windows of a pool.
    fn window_targets(&self, pool: &PoolName) -> WindowTargets {
        let config = self.relay.config();
        match config.and_then(|config| config.model(pool.as_str())) {
            Some(model) => WindowTargets {
                first_token: model.targets.first_token(),
                token_gap: Some(model.targets.between_tokens()),
            },
            None => WindowTargets::service(SERVICE_LATENCY),
        }
    }

    /// Whether the upstream has loaded what its pool needs. Until then an engine answers every
    /// request with an error.
    fn serves_pool(&self, announcement: &Announcement) -> bool {
        let config = self.relay.config();
        let model = config.and_then(|config| config.model(announcement.pool.as_str()));
        model.is_none_or(|model| orders::can_serve_pool(model, &announcement.models))
    }

    /// Sends the orders that are due.
    pub(super) fn send_orders(&mut self, now: Duration) {
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
                let outcome = call.run();
                tx.send(SidecarMsg::OrderFinished { upstream, outcome });
            });
        }
    }

    /// Handles the outcome of an order.
    pub(super) fn on_order_finished(&mut self, upstream: &UpstreamName, outcome: OrderOutcome) {
        let Some(order) = self
            .orders
            .on_order_finished(self.cx.now(), upstream, outcome)
        else {
            return;
        };
        if order.changes_version {
            let now = self.cx.now();
            let slots = self.core.upstreams_mut().get_mut(upstream);
            slots
                .into_iter()
                .for_each(|slots| slots.on_version_change(now));
        }
        let event = match outcome {
            OrderOutcome::Done => &events::ORDER_COMPLETED,
            OrderOutcome::StaleNumber => &events::ORDER_REFUSED,
            OrderOutcome::Status(_) | OrderOutcome::NoResponse => &events::ORDER_FAILED,
        };
        self.cx.log(
            event,
            &[
                ("upstream", &order.upstream),
                ("name", &order.name),
                ("fence", &order.fence),
                ("end", &order.outcome),
            ],
        );
    }
}

/// Identity of this process as the holder of a lease.
pub(super) fn process_id(cx: &HostCx) -> ProcessId {
    ProcessId {
        host: cx.identity.host.clone(),
        incarnation: cx.identity.incarnation,
    }
}
