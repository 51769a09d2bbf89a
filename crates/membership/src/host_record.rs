//! The record of one host that relays exchange.

use std::cmp::Ordering;
use std::sync::Arc;

use coltsfootnotch_types::{HostName, Incarnation};
use serde::{Deserialize, Serialize};

use crate::Profile;

/// Whether a host is a member of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Presence {
    /// It has left or has missed its heartbeats.
    Gone,
    /// It finishes its work and accepts no new work.
    Leaving,
    /// It sends heartbeats and is not leaving.
    Present,
}

/// The state of one host at one relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// See [`crate::Heartbeat::started`].
    pub started: u64,
    /// See [`crate::Heartbeat::attach`].
    pub attach: u32,
    /// Whether it is a member of the fleet.
    pub presence: Presence,
    /// Number of the configuration in force at the host.
    pub config: u64,
    /// Its profile; `None` once it is gone.
    pub profile: Option<Arc<Profile>>,
}

impl HostRecord {
    /// Whether this record takes precedence over `other`, the record of the same host at another
    /// relay.
    ///
    /// Of one run the later attachment takes precedence. Of two runs the one that is not gone does,
    /// then the one that started later by the host's clock. A wrong choice is corrected once the
    /// earlier run is declared silent.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        let order = if self.incarnation == other.incarnation {
            self.attach.cmp(&other.attach)
        } else {
            let is_listed = |r: &Self| r.presence != Presence::Gone;
            is_listed(self)
                .cmp(&is_listed(other))
                .then(self.started.cmp(&other.started))
                .then(self.incarnation.cmp(&other.incarnation))
        };
        order.then(self.presence.cmp(&other.presence)) == Ordering::Greater
    }
}
