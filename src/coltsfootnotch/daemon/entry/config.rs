//! What an entry is started with.

use std::net::SocketAddr;

use coltsfootnotch_fabric::Credentials;
use coltsfootnotch_manifest::Limits;

use crate::daemon::ControlAddress;

/// What an entry is started with.
pub struct EntryConfig {
    /// Address of its fleet endpoint (UDP).
    pub fleet: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// The control hosts.
    pub control: Vec<ControlAddress>,
    /// Its certificate and key.
    pub credentials: Credentials,
    /// Bounds on what callers can make it hold.
    pub limits: Limits,
    /// Time for requests in progress at a graceful shutdown.
    pub shutdown: std::time::Duration,
}
