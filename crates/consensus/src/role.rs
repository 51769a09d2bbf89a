//! Roles of a member.

use derive_more::Display;

/// The role of a member in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RoleKind {
    /// Follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// Has sent pre-vote requests.
    #[display("pre-candidate")]
    PreCandidate,
    /// Has sent vote requests.
    #[display("candidate")]
    Candidate,
    /// Leads the group in its term.
    #[display("leader")]
    Leader,
}
