//! What a forwarding entry is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fabric::Credentials;
use coltsfootnotch_forward::retry::RetryLimit;

use super::Dialect;

/// Times of a forwarding entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// How long a configuration that a quorum confirmed is acted upon.
    pub lease: Duration,
    /// Time from the signal to stop until the process must have ended.
    pub shutdown: Duration,
}

/// What a forwarding entry is told when it starts.
pub struct ForwardSettings {
    /// UDP address that the fleet endpoint binds.
    pub fleet: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Certificate and key of this host.
    pub credentials: Credentials,
    /// Fleet addresses of some control hosts.
    pub seeds: Vec<SocketAddr>,
    /// Most connections of callers.
    pub connections: usize,
    /// Times.
    pub times: Times,
    /// The operator's bound on second sends.
    pub retries: RetryLimit,
    /// How requests, answers and configurations are written.
    pub dialect: Dialect,
}
