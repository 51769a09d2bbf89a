//! Contacts that a relay sends to hosts.

use std::net::SocketAddr;

use coltsfootnotch_types::{DomainName, HostName, Incarnation, Role};
use serde::{Deserialize, Serialize};

use crate::{HostRecord, Presence, ServedUpstream};

/// A host that another may connect to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The role of its daemon.
    pub role: Role,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// Addresses at which to reach it.
    pub addresses: Vec<SocketAddr>,
    /// The upstreams of a sidecar; empty for other roles.
    pub serves: Vec<ServedUpstream>,
}

impl Contact {
    /// Creates the contact of a host; `None` if it is gone or has sent no profile.
    #[must_use]
    pub fn from_record(record: &HostRecord) -> Option<Self> {
        let profile = record.profile.as_ref()?;
        (record.presence != Presence::Gone).then(|| Self {
            host: record.host.clone(),
            incarnation: record.incarnation,
            role: profile.role,
            domain: profile.domain.clone(),
            leaving: record.presence == Presence::Leaving,
            addresses: profile.addresses.clone(),
            serves: profile.serves.clone(),
        })
    }
}
