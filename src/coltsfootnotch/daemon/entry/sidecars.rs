//! The connections of one entry to the sidecars.

use std::collections::{BTreeMap, HashMap};

use coltsfootnotch_fabric::{DialHandle, Endpoint, LinkId, LinkTx, PeerId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{HostRecord, Message, ToSidecar};
use tokio::sync::watch;

use super::attempt::LinkWatch;

struct Connection {
    record: HostRecord,
    _dial: DialHandle,
    link: Option<LinkId>,
    state: watch::Sender<Option<(Incarnation, LinkTx)>>,
}

/// Connections by host. A sidecar is dialled for as long as the directory names it.
#[derive(Default)]
pub(super) struct Sidecars {
    hosts: BTreeMap<HostName, Connection>,
    by_link: HashMap<LinkId, HostName>,
}

impl Sidecars {
    /// Takes in a host of the directory; dials it when it is a sidecar that is new or has moved.
    pub(super) fn learn(&mut self, endpoint: &Endpoint, record: &HostRecord) {
        if record.role != Role::Sidecar {
            return;
        }
        if let Some(known) = self.hosts.get_mut(&record.host)
            && known.record.address == record.address
        {
            known.record = record.clone();
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

    /// Forgets a host that is gone from the directory, unless its connection still stands: what
    /// control hosts do not see may still be there.
    pub(super) fn forget(&mut self, host: &HostName) {
        if self
            .hosts
            .get(host)
            .is_some_and(|known| known.link.is_none())
        {
            self.hosts.remove(host);
        }
    }

    /// A connection came up; the host's failure domain, if it is a known sidecar.
    pub(super) fn up(
        &mut self,
        link: LinkId,
        host: &HostName,
        incarnation: Incarnation,
        tx: LinkTx,
    ) -> Option<DomainName> {
        let known = self.hosts.get_mut(host)?;
        known.link = Some(link);
        known.state.send_replace(Some((incarnation, tx)));
        self.by_link.insert(link, host.clone());
        Some(known.record.domain.clone())
    }

    /// A connection is gone; its host, if it was the one in use.
    pub(super) fn down(&mut self, link: LinkId) -> Option<HostName> {
        let host = self.by_link.remove(&link)?;
        let known = self.hosts.get_mut(&host)?;
        if known.link != Some(link) {
            return None;
        }
        known.link = None;
        known.state.send_replace(None);
        Some(host)
    }

    /// The host at the other end of the connection in use.
    pub(super) fn host_of(&self, link: LinkId) -> Option<&HostName> {
        let host = self.by_link.get(&link)?;
        (self.hosts.get(host)?.link == Some(link)).then_some(host)
    }

    /// The run of a host's process, while the connection to it is up.
    pub(super) fn run_of(&self, host: &HostName) -> Option<Incarnation> {
        let state = self.hosts.get(host)?.state.borrow();
        state.as_ref().map(|(incarnation, _)| *incarnation)
    }

    /// Follows the connection to a host.
    pub(super) fn watch(&self, host: &HostName) -> Option<LinkWatch> {
        Some(self.hosts.get(host)?.state.subscribe())
    }

    /// Sends a control message; lost when the connection is down, and then told anew on the next.
    pub(super) fn send(&self, host: &HostName, message: ToSidecar) {
        let Some(known) = self.hosts.get(host) else {
            return;
        };
        if let Some((_, tx)) = known.state.borrow().as_ref() {
            // Too large a message can't come up: waits are bounded by the accounts of a pool.
            let _sent = tx.send(&Message::ToSidecar(message));
        }
    }
}
