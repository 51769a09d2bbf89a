//! What a host says about itself when it registers.

use std::net::SocketAddr;

use coltsfootnotch_types::{DomainName, PoolName, RegionName, Role, UpstreamName};
use serde::{Deserialize, Serialize};

/// The part of a registration that rarely changes; sent once, then referred to by its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// What its daemon does.
    pub role: Role,
    /// Its failure domain.
    pub domain: DomainName,
    /// The region of its failure domain.
    pub region: RegionName,
    /// Where other processes of the fleet reach it.
    pub addresses: Vec<SocketAddr>,
    /// For a sidecar: its upstreams.
    pub serves: Vec<ServedUpstream>,
}

/// One upstream beside a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedUpstream {
    /// The pool.
    pub pool: PoolName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// How many requests it holds at once, as found so far; for display and for weighing domains,
    /// not for dispatch.
    pub slots: u32,
    /// Whether it is leaving: it gets no new work.
    pub leaving: bool,
}

impl Profile {
    /// Whether the host serves `pool` and takes new work for it.
    #[must_use]
    pub fn serves(&self, pool: &PoolName) -> bool {
        self.serves.iter().any(|s| s.pool == *pool && !s.leaving)
    }
}
