//! What a leader tells of another member.

use std::time::Duration;

/// What a leader tells of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// Time since the member last answered, or since the leader was elected.
    pub silent_for: Duration,
    /// Whether the member has synced every entry that was committed a heartbeat ago, and so lacks at most
    /// what is under way to it.
    pub caught_up: bool,
}
