//! What a sidecar is started with.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_fabric::Credentials;
use coltsfootnotch_manifest::Limits;
use coltsfootnotch_state::DriftBound;

use crate::daemon::ControlAddress;

/// What a sidecar is started with.
pub struct SidecarConfig {
    /// Address of its fleet endpoint (UDP).
    pub fleet: SocketAddr,
    /// Loopback address for announcements.
    pub announce: SocketAddr,
    /// The control hosts.
    pub control: Vec<ControlAddress>,
    /// Its certificate and key.
    pub credentials: Credentials,
    /// Bounds on what others can make it hold.
    pub limits: Limits,
    /// Time for requests in progress at a graceful shutdown.
    pub shutdown: Duration,
    /// How it chooses whose work it pulls.
    pub policy: ChoicePolicy,
    /// Bound on the drift of clocks; leases for orders to engines are held shorter by it.
    pub drift: DriftBound,
}
