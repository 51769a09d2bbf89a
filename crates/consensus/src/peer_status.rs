//! Replication status of a peer.

use std::time::Duration;

/// Status of another member as seen by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// Time since the member's last reply, or since the leader was elected.
    pub silent_for: Duration,
    /// Whether the member has synced every entry that was committed at the previous heartbeat.
    pub caught_up: bool,
}
