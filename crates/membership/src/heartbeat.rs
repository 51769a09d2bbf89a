//! Heartbeats and their replies.

use coltsfootnotch_types::{HostName, Incarnation};
use serde::{Deserialize, Serialize};

use crate::{Epoch, Profile};

/// A sign of life of one host, which also registers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Seconds of the host's own calendar clock at its start. A hint only, for telling which of two
    /// runs is the later one when they register at different relays at the same time.
    pub started: u64,
    /// How many relays this run has turned to, this one included: of two relays that list the host,
    /// the one with the higher count is right.
    pub attach: u32,
    /// Counted up with each heartbeat.
    pub seq: u64,
    /// The configuration that the host has in force; zero for none.
    pub config: u64,
    /// Whether the host has announced that it is leaving.
    pub leaving: bool,
    /// The version of `profile`.
    pub profile_version: u32,
    /// Sent until the relay has confirmed that version.
    pub profile: Option<Profile>,
}

/// What the relay answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// Accepted; the registration is valid for the silence time from the sending of `seq`.
    Accepted {
        /// The heartbeat that is answered.
        seq: u64,
        /// The run of the relay.
        epoch: Epoch,
        /// The profile version that the relay has; the host sends its profile again if it differs.
        profile_version: Option<u32>,
    },
    /// A later run of the same host has registered: this process must not go on.
    Replaced,
}
