//! A view of a member for operators and metrics.

use std::time::Duration;

use crate::{LogIndex, MemberId, Membership, RoleKind, Term};

/// How a member stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This member.
    pub member: MemberId,
    /// Its role.
    pub role: RoleKind,
    /// Its term.
    pub term: Term,
    /// The leader, where it is known.
    pub leader: Option<MemberId>,
    /// Last entry of its log.
    pub last: LogIndex,
    /// Last entry it has synced.
    pub synced: LogIndex,
    /// Last entry it knows to be committed.
    pub commit: LogIndex,
    /// Last entry it has handed to the state machine.
    pub applied: LogIndex,
    /// Last entry that its newest snapshot includes.
    pub snapshot: LogIndex,
    /// The members by its log.
    pub members: Membership,
    /// Bytes of the entries held in memory.
    pub held_bytes: usize,
    /// Until when the leader's lease holds, on this member's clock; only while it leads.
    pub lease_until: Option<Duration>,
}
