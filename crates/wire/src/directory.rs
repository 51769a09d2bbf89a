//! Hosts as the other processes need to know them.

use std::net::SocketAddr;

use coltsfootnotch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A pool served by a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedPool {
    /// The pool.
    pub pool: PoolName,
    /// Upstreams of it on the host that are alive and not leaving.
    pub upstreams: u32,
}

/// A live host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: Role,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where its fleet endpoint listens (UDP).
    pub address: SocketAddr,
    /// Number of the configuration it has in force; zero while it has none.
    pub config: u64,
    /// The pools it serves, for a sidecar.
    pub pools: Vec<ServedPool>,
    /// Whether it is leaving: it finishes its work and takes no more.
    pub leaving: bool,
}
