//! How many further losses a control group bears, as one member sees it.

use std::collections::BTreeSet;

use coltsfootnotch_consensus::{MemberId, Membership};

/// How many further losses a control group bears, as one member sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupHealth {
    /// Voters of the group.
    pub voters: usize,
    /// Members that receive the log and have no vote.
    pub learners: usize,
    /// Voters that are connected, this member included.
    pub connected: usize,
    /// Voters of which a majority consists.
    pub needed: usize,
}

impl GroupHealth {
    /// The health of `members`, of which `connected` are reachable.
    ///
    /// A voter whose host came back with an empty disk is another member and does not count.
    #[must_use]
    pub fn of(members: &Membership, connected: &BTreeSet<MemberId>) -> Self {
        Self {
            voters: members.voters.len(),
            learners: members.learners.len(),
            connected: members.voters.intersection(connected).count(),
            needed: members.quorum(),
        }
    }

    /// How many further voters can be lost before there is no majority; negative where voters are missing.
    ///
    /// ```
    /// use coltsfootnotch::daemon::control::group_health::GroupHealth;
    /// let health = GroupHealth { voters: 4, learners: 0, connected: 3, needed: 3 };
    /// assert_eq!(health.spare(), 0);
    /// ```
    #[must_use]
    pub fn spare(&self) -> isize {
        self.connected as isize - self.needed as isize
    }
}
