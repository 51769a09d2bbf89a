//! Control hosts that are dialled by address, where nobody says who is there.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use coltsfootnotch_fabric::{DialHandle, Endpoint, PeerId};
use coltsfootnotch_types::Role;

/// Addresses that are dialled for as long as they are wanted; a connection is kept with any control
/// host that answers there.
#[derive(Debug, Default)]
pub(super) struct ControlDials {
    dials: BTreeMap<SocketAddr, DialHandle>,
}

impl ControlDials {
    /// Dials what is wanted and was not before, and drops what is wanted no more.
    pub(super) fn keep(&mut self, endpoint: &Endpoint, wanted: &BTreeSet<SocketAddr>) {
        self.dials.retain(|address, _| wanted.contains(address));
        for address in wanted {
            let is_control = |peer: &PeerId| peer.role == Role::Control;
            let dial = || endpoint.dial_if(*address, is_control);
            self.dials.entry(*address).or_insert_with(dial);
        }
    }
}
