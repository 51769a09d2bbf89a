//! What a relay tells others about one host.

use std::cmp::Ordering;
use std::sync::Arc;

use coltsfootnotch_types::{HostName, Incarnation};
use serde::{Deserialize, Serialize};

use crate::Profile;

/// Whether a host takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Presence {
    /// It has left or is silent.
    Gone,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It takes part.
    Present,
}

/// One host as one relay knows it.
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
    /// Whether it takes part.
    pub presence: Presence,
    /// The configuration that it has in force.
    pub config: u64,
    /// What it said about itself; left out once it is gone.
    pub profile: Option<Arc<Profile>>,
}

impl HostRecord {
    /// Whether this record is right rather than `other`, which another relay has of the same host.
    ///
    /// Of one run the later attachment is right, whatever the earlier relay believes. Of two runs the
    /// one that takes part is, then the one that started later by the host's own clock. A wrong choice
    /// lasts until the earlier relay finds its run silent.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        let order = if self.incarnation == other.incarnation {
            self.attach.cmp(&other.attach)
        } else {
            let is_here = |r: &Self| r.presence != Presence::Gone;
            is_here(self)
                .cmp(&is_here(other))
                .then(self.started.cmp(&other.started))
                .then(self.incarnation.cmp(&other.incarnation))
        };
        order.then(self.presence.cmp(&other.presence)) == Ordering::Greater
    }
}
