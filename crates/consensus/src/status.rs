//! Status of a member, for operators and metrics.

use std::time::Duration;

use crate::{LogIndex, MemberId, Membership, RoleKind, Term};

/// Status of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This member.
    pub member: MemberId,
    /// Its role.
    pub role: RoleKind,
    /// Its term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<MemberId>,
    /// Last entry in its log.
    pub last: LogIndex,
    /// Last synced entry.
    pub synced: LogIndex,
    /// Last entry known to be committed.
    pub commit: LogIndex,
    /// Last entry applied to the state machine.
    pub applied: LogIndex,
    /// Last entry included in its newest snapshot.
    pub snapshot: LogIndex,
    /// The latest membership in its log.
    pub members: Membership,
    /// The entry with that membership.
    pub members_index: LogIndex,
    /// Bytes of the entries in memory.
    pub log_bytes: usize,
    /// End of the leader's lease on this member's clock; `None` unless it leads and has one.
    pub lease_until: Option<Duration>,
}
