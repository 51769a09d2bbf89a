//! Entries of the host directory.

use std::net::SocketAddr;

use coltsfootnotch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A pool served by a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedPool {
    /// The pool.
    pub pool: PoolName,
    /// Number of its upstreams on the host that are alive and not draining.
    pub upstreams: u32,
}

/// A live host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: DomainName,
    /// UDP address of its fleet endpoint.
    pub address: SocketAddr,
    /// Number of the configuration in force; zero if it has none.
    pub config: u64,
    /// The pools that it serves; empty unless it is a sidecar.
    pub pools: Vec<ServedPool>,
    /// Whether it is draining: it finishes its work and accepts no more.
    pub leaving: bool,
}
