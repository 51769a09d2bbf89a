//! What a member is doing in its term.

use derive_more::Display;

/// The role of a member in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RoleKind {
    /// Follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// Asks the others whether they would vote for it.
    #[display("pre-candidate")]
    PreCandidate,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Leads.
    #[display("leader")]
    Leader,
}
