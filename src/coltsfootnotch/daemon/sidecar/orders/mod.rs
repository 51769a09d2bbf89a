//! Orders to the engines beside this sidecar: which, when, and under which fencing number.
//!
//! The manifest says how many replicas hold each version and adapter; the sidecar claims places of
//! them as leases ([`places`]), compares with what the engine announces ([`engine`]), takes a permit
//! of the weight store for what loads weights ([`timing`]), and gives one order at a time under the
//! lease for orders to this engine. What was carried out is recorded in the log before the next order.
//!
//! Every lease is held by this process's own clock ([`lease_set`]): without a relay the sidecar stops
//! giving orders in time, and the engine goes on serving what it has.

mod call;
mod claim;
mod engine;
mod lease_set;
mod names;
mod places;
mod records;
mod timing;

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_manifest::ConfigIndex;
use coltsfootnotch_state::{DriftBound, OrderDone, ProcessId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::ProposeError;
use coltsfootnotch_wire::announce::{Announcement, UpstreamKind};

pub use call::{OrderCall, OrderEnd};
use engine::{Engine, StepCx};
use lease_set::LeaseSet;
pub use names::serves;
use records::Records;

/// Time for releases to be answered when the sidecar stops; the leases expire without them.
const RELEASE_PATIENCE: Duration = Duration::from_secs(1);

/// Orders to the engines beside one sidecar.
pub struct Orders {
    engines: BTreeMap<UpstreamName, Engine>,
    leases: LeaseSet,
    records: Records,
    stopped: Option<Duration>,
}

/// How an order ended, to be logged.
pub struct EndedOrder {
    /// The upstream.
    pub upstream: UpstreamName,
    /// What was to be loaded, unloaded or become the role.
    pub name: String,
    /// Number of the lease under which it was given.
    pub fence: u64,
    /// Whether the engine serves another version than before.
    pub changes_version: bool,
    /// How it ended.
    pub end: OrderEnd,
}

impl Orders {
    /// For a sidecar without engines.
    #[must_use]
    pub fn new(me: ProcessId, drift: DriftBound) -> Self {
        Self {
            engines: BTreeMap::new(),
            leases: LeaseSet::new(me, drift),
            records: Records::default(),
            stopped: None,
        }
    }

    /// Takes in an announcement; services get no orders, and engines that leave no more of them.
    pub fn announced(&mut self, now: Duration, announcement: &Announcement) {
        if announcement.kind != UpstreamKind::Engine || self.stopped.is_some() {
            return;
        }
        let is_other = |engine: &Engine| engine.pool != announcement.pool;
        let known = self.engines.get(&announcement.name);
        if announcement.leaving || known.is_some_and(is_other) {
            self.retain(|name| *name != announcement.name);
        }
        if announcement.leaving {
            return;
        }
        let engine = self
            .engines
            .entry(announcement.name.clone())
            .or_insert_with(|| Engine::new(now, announcement));
        engine.hear(now, announcement);
    }

    /// Forgets engines that are silent or gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        let leases = &mut self.leases;
        self.engines.retain(|name, engine| {
            let stays = is_known(name);
            if !stays {
                engine.give_up(leases);
            }
            stays
        });
    }

    /// Decides what to order, and asks for, renews and gives back leases through `propose`, which
    /// returns the number of the proposal, or none without a relay.
    pub fn tick(
        &mut self,
        now: Duration,
        config: Option<&ConfigIndex>,
        mut propose: impl FnMut(Vec<u8>) -> Option<u64>,
    ) -> Vec<(UpstreamName, OrderCall)> {
        self.records.tick(now, &mut propose);
        let calls = match config {
            Some(config) if self.stopped.is_none() => self.step(now, config),
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
            if self.records.is_open(name) {
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

    /// Takes in the answer to a proposal.
    pub fn answered(&mut self, now: Duration, id: u64, reply: &Result<Vec<u8>, ProposeError>) {
        if !self.leases.answered(now, id, reply) {
            self.records.answered(id, reply);
        }
    }

    /// An order has ended.
    pub fn ended(
        &mut self,
        now: Duration,
        upstream: &UpstreamName,
        end: OrderEnd,
    ) -> Option<EndedOrder> {
        let engine = self.engines.get_mut(upstream)?;
        let sent = engine.sent.take()?;
        match end {
            OrderEnd::Done => {
                engine.succeeded(now, sent.action.clone());
                self.records.add(OrderDone {
                    lease: engine.lease.clone(),
                    number: sent.fence,
                    upstream: upstream.clone(),
                    incarnation: engine.run(),
                    action: sent.action,
                });
            }
            OrderEnd::OldNumber => {
                // Another process was granted the lease since: this one must not act on it.
                self.leases.give_up(&engine.lease);
                engine.failed(now);
            }
            OrderEnd::Status(_) | OrderEnd::NoAnswer => engine.failed(now),
        }
        Some(EndedOrder {
            upstream: upstream.clone(),
            name: sent.name,
            fence: sent.fence.0,
            changes_version: sent.changes_version && end == OrderEnd::Done,
            end,
        })
    }

    /// The sidecar stops: no further order, and what is held goes back.
    pub fn stop(&mut self, now: Duration) {
        self.stopped = Some(now);
        for engine in self.engines.values_mut() {
            engine.give_up(&mut self.leases);
        }
    }

    /// Whether leases are still going back after a stop. A process that ended before that would keep
    /// its places and permits from others until they expire.
    #[must_use]
    pub fn is_releasing(&self, now: Duration) -> bool {
        let is_recent = |stopped| now < stopped + RELEASE_PATIENCE;
        self.stopped.is_some_and(is_recent) && self.leases.is_releasing()
    }
}
