//! What a host learns about another.

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
    /// What its daemon does.
    pub role: Role,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Where to reach it.
    pub addresses: Vec<SocketAddr>,
    /// For a sidecar: its upstreams.
    pub serves: Vec<ServedUpstream>,
}

impl Contact {
    /// The contact of a host that takes part; `None` for one that is gone.
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
