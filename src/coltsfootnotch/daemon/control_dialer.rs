//! Dials control hosts by address, where the host name behind an address is not known.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use coltsfootnotch_fabric::{DialHandle, Endpoint, PeerId};
use coltsfootnotch_types::Role;

/// Keeps a connection to each of a set of addresses, with whichever control host accepts it there.
#[derive(Debug, Default)]
pub(super) struct ControlDialer {
    dials: BTreeMap<SocketAddr, DialHandle>,
}

impl ControlDialer {
    /// Dials the addresses that are new in `targets` and closes the connections that are not in it.
    pub(super) fn set_targets(&mut self, endpoint: &Endpoint, targets: &BTreeSet<SocketAddr>) {
        self.dials.retain(|address, _| targets.contains(address));
        for address in targets {
            let is_control = |peer: &PeerId| peer.role == Role::Control;
            let dial = || endpoint.dial_if(*address, is_control);
            self.dials.entry(*address).or_insert_with(dial);
        }
    }
}
