//! The connections that stand, by peer.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_fabric::{LinkId, LinkTx, PeerId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromRelay, Message};

use super::host_feed::HostFeed;
use super::packet::MemberPacket;
use super::relay_feed::RelayFeed;

/// One connection.
pub(super) struct Link {
    /// Who is at the other end.
    pub(super) peer: PeerId,
    /// The run of its process.
    pub(super) incarnation: Incarnation,
    /// What the host was told, once it has sent a heartbeat.
    pub(super) host: Option<HostFeed>,
    /// What the other relay was told.
    pub(super) relay: RelayFeed,
    tx: LinkTx,
}

impl Link {
    /// Sends a message. One too large for a frame can't be sent at all: the connection is closed,
    /// so that the peer does not go on as if nothing had been left out.
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

/// The connections that stand.
///
/// Two control hosts dial each other, so there may be two connections between them: the newest is
/// used, and the other takes over when it is gone.
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

    /// The connections to use for the control hosts.
    pub(super) fn control_ids(&self) -> Vec<LinkId> {
        let newest = self.controls.values().filter_map(BTreeSet::last);
        newest.copied().collect()
    }

    /// Whether a control host is connected.
    pub(super) fn has_control(&self, host: &HostName) -> bool {
        self.controls.contains_key(host)
    }

    /// Every connection over which a host has sent a heartbeat.
    pub(super) fn hosts_mut(&mut self) -> impl Iterator<Item = &mut Link> {
        let all = self.by_id.values_mut();
        all.filter(|link| link.host.is_some())
    }

    /// Sends a packet on every connection to a control host.
    pub(super) fn send_members(&self, packet: &MemberPacket) {
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
