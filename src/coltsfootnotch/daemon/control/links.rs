//! Open connections by peer.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_fabric::{LinkId, LinkTx, PeerId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromRelay, Message};

use super::host_feed::HostFeed;
use super::packet::MemberPacket;
use super::relay_feed::RelayFeed;

/// An open connection.
pub(super) struct Link {
    /// The peer at the other end.
    pub(super) peer: PeerId,
    /// The incarnation of its process.
    pub(super) incarnation: Incarnation,
    /// State of the host, present after its first heartbeat.
    pub(super) host: Option<HostFeed>,
    /// State of the updates sent to the other relay.
    pub(super) relay: RelayFeed,
    tx: LinkTx,
}

impl Link {
    /// Sends a message. If it is too large for a frame, the connection is closed, so that the peer doesn't
    /// miss a message unnoticed.
    pub(super) fn send(&self, message: &Message) {
        if self.tx.send(message).is_err() {
            self.tx.close();
        }
    }

    pub(super) fn send_host(&self, message: FromRelay) {
        self.send(&Message::FromRelay(message));
    }

    pub(super) fn send_member(&self, packet: &MemberPacket) {
        let bytes = postcard::to_allocvec(packet).expect("a packet can be encoded");
        self.send(&Message::Member(bytes));
    }

    pub(super) fn close(&self) {
        self.tx.close();
    }
}

/// Open connections.
///
/// Control hosts dial each other, so there may be two connections between them. The newest is used, and
/// the other after it closes.
#[derive(Default)]
pub(super) struct Links {
    by_id: BTreeMap<LinkId, Link>,
    controls: BTreeMap<HostName, BTreeSet<LinkId>>,
}

impl Links {
    pub(super) fn add(&mut self, id: LinkId, peer: PeerId, incarnation: Incarnation, tx: LinkTx) {
        if peer.role == Role::Control {
            let of_host = self.controls.entry(peer.host.clone()).or_default();
            of_host.insert(id);
        }
        let link = Link {
            peer,
            incarnation,
            host: None,
            relay: RelayFeed::default(),
            tx,
        };
        self.by_id.insert(id, link);
    }

    pub(super) fn remove(&mut self, id: LinkId) -> Option<Link> {
        let link = self.by_id.remove(&id)?;
        if let Some(of_host) = self.controls.get_mut(&link.peer.host) {
            of_host.remove(&id);
            if of_host.is_empty() {
                self.controls.remove(&link.peer.host);
            }
        }
        Some(link)
    }

    pub(super) fn get(&self, id: LinkId) -> Option<&Link> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.by_id.get_mut(&id)
    }

    /// The connection to use for a control host.
    pub(super) fn control(&self, host: &HostName) -> Option<(LinkId, &Link)> {
        let id = *self.controls.get(host)?.last()?;
        Some((id, self.by_id.get(&id)?))
    }

    /// The connection to use for each control host.
    pub(super) fn control_ids(&self) -> Vec<LinkId> {
        let newest = self.controls.values().filter_map(BTreeSet::last);
        newest.copied().collect()
    }

    /// Whether a control host is connected.
    pub(super) fn has_control(&self, host: &HostName) -> bool {
        self.controls.contains_key(host)
    }

    /// Connections on which a heartbeat was received.
    pub(super) fn hosts_mut(&mut self) -> impl Iterator<Item = &mut Link> {
        let all = self.by_id.values_mut();
        all.filter(|link| link.host.is_some())
    }

    /// Sends a packet to every connected control host.
    pub(super) fn broadcast_to_members(&self, packet: &MemberPacket) {
        for id in self.control_ids() {
            if let Some(link) = self.get(id) {
                link.send_member(packet);
            }
        }
    }

    pub(super) fn close_all(&self) {
        self.by_id.values().for_each(Link::close);
    }
}
