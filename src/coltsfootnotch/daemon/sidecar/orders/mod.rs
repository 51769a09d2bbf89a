//! Orders to the engines of this sidecar: which, when, and under which fencing number.
//!
//! The manifest sets the number of replicas of each version and adapter. The sidecar claims replica
//! leases ([`replica_leases`]), compares the desired placement with what the engine announces
//! ([`engine`]), takes a permit of the weight store to load weights ([`timing`]), and sends one
//! order at a time under the order lease of the engine. It has each recorded before the next.
//!
//! Leases expire by the clock of this process ([`lease_set`]), so a sidecar without a relay stops
//! sending orders in time, while the engine keeps serving what it has loaded.

mod call;
mod engine;
mod lease_claim;
mod lease_set;
mod names;
mod pending_records;
mod replica_leases;
mod timing;

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_manifest::ConfigIndex;
use coltsfootnotch_state::{DriftBound, OrderDone, ProcessId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::ProposeError;
use coltsfootnotch_wire::announce::{Announcement, UpstreamKind};

pub use call::{OrderCall, OrderOutcome};
use engine::{Engine, StepCx};
use lease_set::LeaseSet;
pub use names::can_serve_pool;
use pending_records::PendingRecords;

/// Time that a stopping sidecar waits for its releases; unreleased leases expire.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Decides on and tracks the orders to the engines of one sidecar.
pub struct EngineOrders {
    engines: BTreeMap<UpstreamName, Engine>,
    leases: LeaseSet,
    records: PendingRecords,
    stopped_at: Option<Duration>,
}

/// What to log of a finished order.
pub struct FinishedOrder {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Name of the version or adapter, or the role.
    pub name: String,
    /// Fencing number of the lease under which the order was sent.
    pub fence: u64,
    /// Whether the engine now serves another version.
    pub changes_version: bool,
    /// Outcome of the order.
    pub outcome: OrderOutcome,
}

impl EngineOrders {
    /// Creates the state of a sidecar without engines.
    #[must_use]
    pub fn new(process: ProcessId, drift: DriftBound) -> Self {
        Self {
            engines: BTreeMap::new(),
            leases: LeaseSet::new(process, drift),
            records: PendingRecords::default(),
            stopped_at: None,
        }
    }

    /// Handles an announcement. Services and leaving engines get no orders.
    pub fn on_announcement(&mut self, now: Duration, announcement: &Announcement) {
        if announcement.kind != UpstreamKind::Engine || self.stopped_at.is_some() {
            return;
        }
        let changes_pool = |engine: &Engine| engine.pool != announcement.pool;
        let previous = self.engines.get(&announcement.name);
        if announcement.leaving || previous.is_some_and(changes_pool) {
            self.retain(|name| *name != announcement.name);
        }
        if announcement.leaving {
            return;
        }
        let engine = self
            .engines
            .entry(announcement.name.clone())
            .or_insert_with(|| Engine::new(now, announcement));
        engine.on_announcement(now, announcement);
    }

    /// Removes the engines for which `is_listed` is false, and releases their leases.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamName) -> bool) {
        let leases = &mut self.leases;
        self.engines.retain(|name, engine| {
            let stays = is_listed(name);
            if !stays {
                engine.release(leases);
            }
            stays
        });
    }

    /// Returns the orders to send, and requests, renews and releases leases through `propose`,
    /// which returns the number of the proposal, or `None` without a relay.
    pub fn tick(
        &mut self,
        now: Duration,
        config: Option<&ConfigIndex>,
        mut propose: impl FnMut(Vec<u8>) -> Option<u64>,
    ) -> Vec<(UpstreamName, OrderCall)> {
        self.records.tick(now, &mut propose);
        let calls = match config {
            Some(config) if self.stopped_at.is_none() => self.step(now, config),
            _ => Vec::new(),
        };
        self.leases.tick(now, propose);
        calls
    }

    fn step(&mut self, now: Duration, config: &ConfigIndex) -> Vec<(UpstreamName, OrderCall)> {
        let mut calls = Vec::new();
        for (name, engine) in &mut self.engines {
            let Some(model) = config.model(engine.pool.as_str()) else {
                continue;
            };
            if self.records.is_pending(name) {
                continue;
            }
            let cx = StepCx {
                now,
                config: config.number(),
                model,
                store: config.manifest().weight_store,
            };
            if let Some(call) = engine.step(&cx, &mut self.leases) {
                calls.push((name.clone(), call));
            }
        }
        calls
    }

    /// Handles the reply to a proposal.
    pub fn on_reply(&mut self, now: Duration, id: u64, reply: &Result<Vec<u8>, ProposeError>) {
        if !self.leases.on_reply(now, id, reply) {
            self.records.on_reply(id, reply);
        }
    }

    /// Handles the outcome of an order; returns what to log, or `None` if no such order is pending.
    pub fn on_order_finished(
        &mut self,
        now: Duration,
        upstream: &UpstreamName,
        outcome: OrderOutcome,
    ) -> Option<FinishedOrder> {
        let engine = self.engines.get_mut(upstream)?;
        let order = engine.pending.take()?;
        match outcome {
            OrderOutcome::Done => {
                engine.on_success(now, order.action.clone());
                self.records.add(OrderDone {
                    lease: engine.lease.clone(),
                    number: order.fence,
                    upstream: upstream.clone(),
                    incarnation: engine.incarnation(),
                    action: order.action,
                });
            }
            OrderOutcome::StaleNumber => {
                // Another process was granted the lease meanwhile, so this one must stop using it.
                self.leases.release(&engine.lease);
                engine.on_failure(now);
            }
            OrderOutcome::Status(_) | OrderOutcome::NoResponse => engine.on_failure(now),
        }
        Some(FinishedOrder {
            upstream: upstream.clone(),
            name: order.name,
            fence: order.fence.0,
            changes_version: order.changes_version && outcome == OrderOutcome::Done,
            outcome,
        })
    }

    /// Stops sending orders and releases all leases.
    pub fn stop(&mut self, now: Duration) {
        self.stopped_at = Some(now);
        for engine in self.engines.values_mut() {
            engine.release(&mut self.leases);
        }
    }

    /// Whether releases are pending after a stop. The process waits for them, since unreleased
    /// leases block other sidecars until they expire.
    #[must_use]
    pub fn is_releasing(&self, now: Duration) -> bool {
        let is_recent = |stopped_at| now < stopped_at + RELEASE_TIMEOUT;
        self.stopped_at.is_some_and(is_recent) && self.leases.is_releasing()
    }
}
