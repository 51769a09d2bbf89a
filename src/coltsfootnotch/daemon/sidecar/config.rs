//! Configuration of a sidecar.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_fabric::Credentials;
use coltsfootnotch_manifest::Limits;
use coltsfootnotch_state::DriftBound;

use crate::daemon::ControlAddress;

/// Configuration of a sidecar.
pub struct SidecarConfig {
    /// Address of the fleet endpoint (UDP).
    pub fleet_address: SocketAddr,
    /// Loopback address for announcements.
    pub announce_address: SocketAddr,
    /// The control hosts.
    pub control: Vec<ControlAddress>,
    /// Certificate and private key of the sidecar.
    pub credentials: Credentials,
    /// Limits on the state that peers and upstreams can create.
    pub limits: Limits,
    /// Time that a graceful shutdown gives to requests in progress.
    pub shutdown: Duration,
    /// Policy by which it chooses the account to pull from.
    pub policy: ChoicePolicy,
    /// Bound on the drift of clocks, by which leases are held for a shorter time locally.
    pub drift: DriftBound,
}
