//! The relay of a failure domain: the directory of hosts and the service sums of accounts.
//!
//! All of it is soft state that needs no quorum, so discovery of hosts and fair service continue while
//! the control group has no leader.

use std::time::Duration;

use coltsfootnotch_membership::{
    Directory, MemberEvent, MemberEventKind, Registry, RelayId, RelaySums, Timing,
};
use coltsfootnotch_membership::{Heartbeat as MemberHeartbeat, ServiceBatch as MemberBatch};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{Heartbeat, HostRecord, ServiceBatch};

use super::host_feed::{member_heartbeat, profile};
use super::packet::RelayPacket;

/// Interval of purging expired hosts from the directory.
const PURGE_INTERVAL: Duration = Duration::from_secs(10);

/// The relay of a failure domain.
pub(super) struct Relay {
    pub(super) registry: Registry,
    pub(super) directory: Directory,
    pub(super) sums: RelaySums,
    me: RelayId,
    local_heartbeats: u64,
    merged: u64,
    purge_due: Duration,
}

impl Relay {
    /// Creates a relay that starts at `now` without hosts.
    pub(super) fn new(me: RelayId, timing: Timing, now: Duration) -> Self {
        Self {
            registry: Registry::new(me.clone(), timing, now),
            directory: Directory::new(me.clone(), &timing, now),
            sums: RelaySums::new(me.clone()),
            me,
            local_heartbeats: 0,
            merged: 0,
            purge_due: now + PURGE_INTERVAL,
        }
    }

    /// Records a host's heartbeat; returns `false` if a later incarnation has registered.
    pub(super) fn heartbeat(&mut self, now: Duration, heartbeat: &MemberHeartbeat) -> bool {
        let reply = self.registry.on_heartbeat(now, heartbeat);
        let replaced = coltsfootnotch_membership::HeartbeatReply::Replaced;
        reply != replaced
    }

    /// Records a heartbeat of this control host, which is listed in the directory as well.
    pub(super) fn record_local_heartbeat(&mut self, now: Duration, record: HostRecord) {
        self.local_heartbeats += 1;
        let heartbeat = Heartbeat {
            seq: self.local_heartbeats,
            // A control host is its own relay and never changes it.
            started: 0,
            attach: 1,
            record,
            directory: 0,
        };
        let profile = profile(&heartbeat.record);
        self.heartbeat(now, &member_heartbeat(&heartbeat, 1, &profile));
    }

    /// Records the service that a host reports; returns the batch number to acknowledge.
    pub(super) fn record_service(
        &mut self,
        host: &HostName,
        run: Incarnation,
        batch: &ServiceBatch,
    ) -> u64 {
        self.sums.apply_batch(&MemberBatch {
            host: host.clone(),
            incarnation: run,
            seq: batch.seq,
            added: batch.served.clone(),
        })
    }

    /// Merges an update of another relay; returns `false` if it is refused. A relay may only report its own
    /// hosts, so that a stolen key can't remove the hosts of other failure domains.
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

    /// Checks hosts for timeouts and updates the directory; returns the membership events.
    pub(super) fn tick(&mut self, now: Duration) -> Vec<MemberEvent> {
        self.registry.tick(now);
        let delta = self.registry.delta_since(self.merged);
        self.merged = delta.to;
        self.directory.merge(now, &delta);
        if now >= self.purge_due {
            self.purge_due = now + PURGE_INTERVAL;
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
