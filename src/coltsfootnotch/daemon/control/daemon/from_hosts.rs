//! What hosts and operators send.

use std::time::Duration;

use coltsfootnotch_fabric::{LinkId, PeerId};
use coltsfootnotch_manifest::Manifest;
use coltsfootnotch_state::Op;
use coltsfootnotch_wire::{ConfigBody, FromRelay, Heartbeat, ProposeError, ServiceBatch, ToRelay};

use super::ControlDaemon;
use crate::core::decode_op;
use crate::daemon::control::host_feed::HostFeed;
use crate::daemon::control::packet::Ask;
use crate::daemon::control::permit::permits;
use crate::daemon::control::request_table::Origin;
use crate::daemon::control::status;

impl ControlDaemon {
    pub(super) fn on_host(&mut self, now: Duration, link: LinkId, peer: &PeerId, message: ToRelay) {
        match message {
            ToRelay::Heartbeat(heartbeat) => self.on_heartbeat(now, link, peer, &heartbeat),
            ToRelay::Service(batch) => self.on_service(link, peer, &batch),
            ToRelay::Propose { id, command } => self.on_propose(now, link, peer, id, command),
            ToRelay::ConfigConfirmed { id } => {
                self.request(now, Origin::Confirm(link, id), Ask::Read);
            }
            ToRelay::Status { id } => {
                let json = status::to_json(self);
                self.tell(link, FromRelay::Status { id, json });
            }
            ToRelay::AdmitMember { id, host, replaces } => {
                let ask = Ask::Admit { host, replaces };
                self.request(now, Origin::Members(link, id), ask);
            }
            ToRelay::Load { follows, load } => {
                if let Some(seeded) = &mut self.seeded {
                    seeded.followers.report(now, link, follows, load);
                }
            }
            ToRelay::Lease { id, have } => self.on_lease_ask(now, link, id, have),
            ToRelay::RemoveMember { id, host } => {
                self.request(now, Origin::Members(link, id), Ask::Remove { host });
            }
        }
    }

    fn on_heartbeat(&mut self, now: Duration, link: LinkId, peer: &PeerId, heartbeat: &Heartbeat) {
        let record = &heartbeat.record;
        let Some(link) = self.links.get_mut(link) else {
            return;
        };
        let is_its_own = record.host == peer.host
            && record.role == peer.role
            && record.incarnation == link.incarnation;
        if !is_its_own {
            self.host
                .metrics
                .counter("heartbeats_refused", &[])
                .increment(1);
            return self.forbidden(peer, "heartbeat of another host");
        }
        let feed = link.host.get_or_insert_with(|| HostFeed::new(heartbeat));
        let heartbeat = feed.hear(now, heartbeat);
        if !self.relay.heartbeat(now, &heartbeat) {
            // A later run of the host has registered; this one must not go on.
            link.close();
        }
    }

    fn on_service(&mut self, link: LinkId, peer: &PeerId, batch: &ServiceBatch) {
        let Some(link) = self.links.get_mut(link) else {
            return;
        };
        // Before the first heartbeat there is nowhere to note what the host watches. Unacknowledged,
        // the batch comes again; taken, the accounts it names would never be told.
        let Some(feed) = &mut link.host else {
            return;
        };
        feed.report(batch);
        let seq = self.relay.serve(&peer.host, link.incarnation, batch);
        link.send_host(FromRelay::ServiceApplied { seq });
    }

    fn on_propose(
        &mut self,
        now: Duration,
        link: LinkId,
        peer: &PeerId,
        id: u64,
        command: Vec<u8>,
    ) {
        let Some(op) = decode_op(&command).ok().filter(is_sound) else {
            let reply = Err(ProposeError::BadCommand);
            return self.tell(link, FromRelay::Proposed { id, reply });
        };
        if !permits(peer.role, &op) {
            self.forbidden(peer, "operation");
            if let Some(link) = self.links.get(link) {
                link.close();
            }
            return;
        }
        self.request(now, Origin::Propose(link, id), Ask::Propose(command));
    }

    pub(in crate::daemon::control) fn tell(&self, link: LinkId, message: FromRelay) {
        if let Some(link) = self.links.get(link) {
            link.send_host(message);
        }
    }

    /// The configuration in force as this member has applied it.
    pub(in crate::daemon::control) fn config_body(&self) -> Option<ConfigBody> {
        let accepted = self.machine().config().in_force()?;
        Some(ConfigBody {
            number: accepted.number,
            digest: accepted.digest.0,
            body: accepted.body.clone(),
        })
    }
}

/// A body that is no manifest, or one with another number, would be accepted by the state machine,
/// to which it is opaque, and then refused by every host.
fn is_sound(op: &Op) -> bool {
    match op {
        Op::ApplyConfig(req) => {
            Manifest::from_body(&req.body).is_ok_and(|manifest| manifest.number == req.number)
        }
        _ => true,
    }
}
