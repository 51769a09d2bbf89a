//! The connections of one entry to the sidecars.

use std::collections::{BTreeMap, HashMap};

use coltsfootnotch_fabric::{DialHandle, Endpoint, LinkId, LinkTx, PeerId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{HostRecord, Message, ToSidecar};
use tokio::sync::watch;

use super::attempt_task::LinkWatch;

struct Connection {
    record: HostRecord,
    _dial: DialHandle,
    link: Option<LinkId>,
    state: watch::Sender<Option<(Incarnation, LinkTx)>>,
}

/// Connections by host. A sidecar is dialled as long as the directory lists it.
#[derive(Default)]
pub(super) struct SidecarLinks {
    hosts: BTreeMap<HostName, Connection>,
    by_link: HashMap<LinkId, HostName>,
}

impl SidecarLinks {
    /// Applies a record of the directory; dials a sidecar that is new or has a new address.
    pub(super) fn apply_record(&mut self, endpoint: &Endpoint, record: &HostRecord) {
        if record.role != Role::Sidecar {
            return;
        }
        if let Some(connection) = self.hosts.get_mut(&record.host)
            && connection.record.address == record.address
        {
            connection.record = record.clone();
            return;
        }
        let peer = PeerId {
            role: Role::Sidecar,
            host: record.host.clone(),
        };
        let connection = Connection {
            record: record.clone(),
            _dial: endpoint.dial(record.address, peer),
            link: None,
            state: watch::Sender::new(None),
        };
        self.hosts.insert(record.host.clone(), connection);
    }

    /// Removes a host that left the directory, unless its connection is up: a sidecar that the
    /// control hosts can't reach may still be running.
    pub(super) fn remove(&mut self, host: &HostName) {
        if self
            .hosts
            .get(host)
            .is_some_and(|connection| connection.link.is_none())
        {
            self.hosts.remove(host);
        }
    }

    /// Records an established connection; returns the host's failure domain if it is a sidecar of
    /// the directory.
    pub(super) fn on_link_up(
        &mut self,
        link: LinkId,
        host: &HostName,
        incarnation: Incarnation,
        tx: LinkTx,
    ) -> Option<DomainName> {
        let connection = self.hosts.get_mut(host)?;
        connection.link = Some(link);
        connection.state.send_replace(Some((incarnation, tx)));
        self.by_link.insert(link, host.clone());
        Some(connection.record.domain.clone())
    }

    /// Records a lost connection; returns its host if the connection was the one in use.
    pub(super) fn on_link_down(&mut self, link: LinkId) -> Option<HostName> {
        let host = self.by_link.remove(&link)?;
        let connection = self.hosts.get_mut(&host)?;
        if connection.link != Some(link) {
            return None;
        }
        connection.link = None;
        connection.state.send_replace(None);
        Some(host)
    }

    /// The host of a connection that is in use.
    pub(super) fn host_of(&self, link: LinkId) -> Option<&HostName> {
        let host = self.by_link.get(&link)?;
        (self.hosts.get(host)?.link == Some(link)).then_some(host)
    }

    /// The incarnation of a host while the connection to it is up.
    pub(super) fn incarnation_of(&self, host: &HostName) -> Option<Incarnation> {
        let state = self.hosts.get(host)?.state.borrow();
        state.as_ref().map(|(incarnation, _)| *incarnation)
    }

    /// Watches the connection to a host.
    pub(super) fn subscribe(&self, host: &HostName) -> Option<LinkWatch> {
        Some(self.hosts.get(host)?.state.subscribe())
    }

    /// Sends a control message. It is lost if the connection is down; the core sends its state
    /// again on the next one.
    pub(super) fn send(&self, host: &HostName, message: ToSidecar) {
        let Some(connection) = self.hosts.get(host) else {
            return;
        };
        if let Some((_, tx)) = connection.state.borrow().as_ref() {
            // Can't be too large, since waits are bounded by the accounts of a pool.
            let _sent = tx.send(&Message::ToSidecar(message));
        }
    }
}
