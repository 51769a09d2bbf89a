//! Heartbeats and their replies.

use coltsfootnotch_types::{HostName, Incarnation};
use serde::{Deserialize, Serialize};

use crate::{Epoch, Profile};

/// A heartbeat of one host, which also registers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Start of the process in seconds of the host's wall clock. Only a hint: it orders two runs
    /// that register at different relays at the same time.
    pub started: u64,
    /// Number of relays that this run has connected to, the current one included. Of two relays
    /// that list the host, the one with the higher number has the current registration.
    pub attach: u32,
    /// Incremented with each heartbeat.
    pub seq: u64,
    /// Number of the configuration in force at the host; zero for none.
    pub config: u64,
    /// Whether the host has announced that it is leaving.
    pub leaving: bool,
    /// The version of `profile`.
    pub profile_version: u32,
    /// The profile; sent until the relay has confirmed its version.
    pub profile: Option<Profile>,
}

/// The relay's reply to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// Recorded: the registration is valid for [`crate::Timing::silent_after`] from the time at
    /// which heartbeat `seq` was sent.
    Accepted {
        /// Sequence number of the heartbeat.
        seq: u64,
        /// The run of the relay.
        epoch: Epoch,
        /// The profile version held by the relay; the host resends its profile if it differs.
        profile_version: Option<u32>,
    },
    /// A later run of the same host has registered: this process must stop.
    Replaced,
}
