//! The profile with which a host registers.

use std::net::SocketAddr;

use coltsfootnotch_types::{DomainName, PoolName, RegionName, Role, UpstreamName};
use serde::{Deserialize, Serialize};

/// The part of a registration that rarely changes: sent once, then referenced by its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The role of its daemon.
    pub role: Role,
    /// Its failure domain.
    pub domain: DomainName,
    /// The region of its failure domain.
    pub region: RegionName,
    /// Addresses at which other processes of the fleet reach it.
    pub addresses: Vec<SocketAddr>,
    /// The upstreams of a sidecar; empty for other roles.
    pub serves: Vec<ServedUpstream>,
}

/// One upstream of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedUpstream {
    /// The pool that it serves.
    pub pool: PoolName,
    /// The name of the upstream.
    pub upstream: UpstreamName,
    /// Estimated number of concurrent requests; for display and for weighting failure domains, not
    /// for dispatch.
    pub slots: u32,
    /// Whether it is draining and receives no new work.
    pub leaving: bool,
}

impl Profile {
    /// Whether the host serves `pool` and accepts new work for it.
    #[must_use]
    pub fn accepts_work_for(&self, pool: &PoolName) -> bool {
        self.serves.iter().any(|s| s.pool == *pool && !s.leaving)
    }
}
