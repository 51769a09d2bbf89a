//! Fault tolerance of a control group, as seen by one member.

use std::collections::BTreeSet;

use coltsfootnotch_consensus::{MemberId, Membership};

/// Fault tolerance of a control group, as seen by one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupHealth {
    /// Number of voters.
    pub voters: usize,
    /// The number of voters that the group is meant to have.
    pub size: usize,
    /// Number of members without a vote.
    pub learners: usize,
    /// Number of connected voters, including this member.
    pub connected: usize,
    /// Size of a majority of the voters.
    pub needed: usize,
}

impl GroupHealth {
    /// The health of `members`, of which `connected` are reachable.
    ///
    /// A host that returned with an empty disk is a different member and doesn't count for its old voter.
    #[must_use]
    pub fn of(members: &Membership, connected: &BTreeSet<MemberId>) -> Self {
        Self {
            voters: members.voters.len(),
            size: members.size,
            learners: members.learners.len(),
            connected: members.voters.intersection(connected).count(),
            needed: members.quorum(),
        }
    }

    /// How many more voters can be lost without losing the majority; negative without a majority.
    ///
    /// ```
    /// use coltsfootnotch::daemon::control::group_health::GroupHealth;
    /// let health = GroupHealth { voters: 4, size: 4, learners: 0, connected: 3, needed: 3 };
    /// assert_eq!(health.spare(), 0);
    /// ```
    #[must_use]
    pub fn spare(&self) -> isize {
        self.connected as isize - self.needed as isize
    }
}
