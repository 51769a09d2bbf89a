//! Settings of a forwarding entry.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fabric::Credentials;
use coltsfootnotch_forward::held::HostLimits;
use coltsfootnotch_forward::retry::RetryLimit;
use tokio::runtime::Handle;

use super::Dialect;

/// Times of a forwarding entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Time for which a configuration may be used after a quorum confirmed it.
    pub lease: Duration,
    /// Time from the signal to stop until the process must have exited.
    pub shutdown: Duration,
}

/// Settings of a forwarding entry.
pub struct ForwardSettings {
    /// Runtime of the connections to control hosts. With one of its own, what control hosts send is
    /// received however many callers' requests wait to be processed: a departed upstream, an evacuated
    /// domain and a revoked key bind within seconds.
    pub fleet_runtime: Handle,
    /// UDP address that the fleet endpoint binds to.
    pub fleet_address: SocketAddr,
    /// Address of the HTTP listener.
    pub http_address: SocketAddr,
    /// Address at which neighbours hand callers' connections over, reachable from the hosts of the
    /// failure domain.
    pub handover_address: SocketAddr,
    /// Certificate and key of this host.
    pub credentials: Credentials,
    /// Fleet addresses of some control hosts.
    pub seeds: Vec<SocketAddr>,
    /// Memory and sockets that may be held for callers.
    pub limits: HostLimits,
    /// Lease and shutdown times.
    pub times: Times,
    /// The operator's limit on retries.
    pub retries: RetryLimit,
    /// Format of requests, responses and configurations.
    pub dialect: Dialect,
}
