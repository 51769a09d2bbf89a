//! The configuration of an entry.

use std::net::SocketAddr;

use coltsfootnotch_fabric::Credentials;
use coltsfootnotch_manifest::Limits;

use crate::daemon::ControlAddress;

/// The configuration with which an entry starts.
pub struct EntryConfig {
    /// Address of its fleet endpoint (UDP).
    pub fleet_address: SocketAddr,
    /// Address of its HTTP listener for callers.
    pub http_address: SocketAddr,
    /// The control hosts.
    pub control: Vec<ControlAddress>,
    /// Its certificate and key.
    pub credentials: Credentials,
    /// Bounds on connections, requests, memory and queues.
    pub limits: Limits,
    /// Time that a graceful shutdown leaves to requests in progress.
    pub shutdown: std::time::Duration,
}
