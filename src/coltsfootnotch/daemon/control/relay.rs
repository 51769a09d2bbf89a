//! The relay of a failure domain: which hosts there are and how much service accounts had.
//!
//! All of it is soft state that needs no quorum, so hosts keep finding each other, and accounts are
//! served fairly, while the control group has no leader.

use std::time::Duration;

use coltsfootnotch_membership::{
    Directory, MemberEvent, MemberEventKind, Registry, RelayId, RelaySums, Timing,
};
use coltsfootnotch_membership::{Heartbeat as MemberHeartbeat, ServiceBatch as MemberBatch};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{Heartbeat, HostRecord, ServiceBatch};

use super::host_feed::{member_heartbeat, profile};
use super::packet::RelayPacket;

/// Time after which the directory drops what is long gone.
const PURGE_EVERY: Duration = Duration::from_secs(10);

/// The relay of a failure domain.
pub(super) struct Relay {
    pub(super) registry: Registry,
    pub(super) directory: Directory,
    pub(super) sums: RelaySums,
    me: RelayId,
    own_beats: u64,
    merged: u64,
    purge_due: Duration,
}

impl Relay {
    /// A relay that starts at `now` and has heard no host yet.
    pub(super) fn new(me: RelayId, timing: Timing, now: Duration) -> Self {
        Self {
            registry: Registry::new(me.clone(), timing, now),
            directory: Directory::new(me.clone(), &timing, now),
            sums: RelaySums::new(me.clone()),
            me,
            own_beats: 0,
            merged: 0,
            purge_due: now + PURGE_EVERY,
        }
    }

    /// Takes a heartbeat of a host; `false` when a later run of it has registered.
    pub(super) fn heartbeat(&mut self, now: Duration, heartbeat: &MemberHeartbeat) -> bool {
        let reply = self.registry.on_heartbeat(now, heartbeat);
        let replaced = coltsfootnotch_membership::HeartbeatReply::Replaced;
        reply != replaced
    }

    /// This control host counts as a host as well: the others find it through the directory.
    pub(super) fn beat_self(&mut self, now: Duration, record: HostRecord) {
        self.own_beats += 1;
        let heartbeat = Heartbeat {
            seq: self.own_beats,
            // A control host is its own relay and never turns to another.
            started: 0,
            attach: 1,
            record,
            directory: 0,
        };
        let profile = profile(&heartbeat.record);
        self.heartbeat(now, &member_heartbeat(&heartbeat, 1, &profile));
    }

    /// Takes the service that a host reports.
    pub(super) fn serve(&mut self, host: &HostName, run: Incarnation, batch: &ServiceBatch) -> u64 {
        self.sums.apply_batch(&MemberBatch {
            host: host.clone(),
            incarnation: run,
            seq: batch.seq,
            added: batch.served.clone(),
        })
    }

    /// Takes what another relay says. The certificate of the connection names `peer`; what it says
    /// of hosts must be its own, or one stolen key could empty every failure domain.
    pub(super) fn merge(&mut self, now: Duration, peer: &HostName, packet: &RelayPacket) -> bool {
        let is_own = |relay: &RelayId| relay.host == *peer || relay.host == self.me.host;
        let hosts_are_own = packet.hosts.as_ref().is_none_or(|d| d.relay.host == *peer);
        if !hosts_are_own || !packet.sums.iter().all(|d| is_own(&d.relay)) {
            return false;
        }
        if let Some(delta) = &packet.hosts {
            self.directory.merge(now, delta);
        }
        for delta in &packet.sums {
            self.sums.merge(delta);
        }
        true
    }

    /// Looks for silence and brings the directory up to date; returns what happened to hosts.
    pub(super) fn tick(&mut self, now: Duration) -> Vec<MemberEvent> {
        self.registry.tick(now);
        let delta = self.registry.delta_since(self.merged);
        self.merged = delta.to;
        self.directory.merge(now, &delta);
        if now >= self.purge_due {
            self.purge_due = now + PURGE_EVERY;
            self.directory.purge(now);
        }
        let events = self.registry.take_events();
        for event in &events {
            if matches!(
                event.kind,
                MemberEventKind::Replaced | MemberEventKind::Left
            ) {
                self.sums.remove_run(&event.host, event.incarnation);
            }
        }
        events
    }
}
