//! The members of the group and the one-at-a-time changes to them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::MemberId;

/// The members of the group as one entry of the log states them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose votes and synced entries count towards a quorum.
    pub voters: BTreeSet<MemberId>,
    /// Members that receive the log and do not count yet, each with the voter it will replace.
    pub learners: BTreeMap<MemberId, Option<MemberId>>,
    /// A voter that has been replaced and is to be removed next.
    pub leaving: Option<MemberId>,
}

/// A change to the members. Voters change by one at a time, so that every majority before the
/// change shares a member with every majority after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Admits a newcomer as a learner. With [`CoreConfig::promote_learners`](crate::CoreConfig) it
    /// becomes a voter once its synced log has caught up, and the voter that it `replaces` is removed
    /// after that.
    Add {
        /// The newcomer.
        member: MemberId,
        /// The voter to remove once the newcomer counts.
        replaces: Option<MemberId>,
    },
    /// Makes a learner that has caught up a voter. The voter that it `replaces` is removed after that.
    Promote {
        /// The learner.
        member: MemberId,
        /// The voter to remove next.
        replaces: Option<MemberId>,
    },
    /// Removes a learner or a voter.
    Remove {
        /// The member that goes.
        member: MemberId,
    },
}

impl Membership {
    /// A group of voters.
    ///
    /// ```
    /// use coltsfootnotch_consensus::Membership;
    /// assert_eq!(Membership::of([]).quorum(), 1);
    /// ```
    #[must_use]
    pub fn of(voters: impl IntoIterator<Item = MemberId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// The voter that writes the first entry of the group. Two founders could write different ones, so
    /// every host that decides whether to found goes by this order and no other.
    ///
    /// ```
    /// use coltsfootnotch_consensus::{DiskId, MemberId, Membership};
    /// use coltsfootnotch_types::HostName;
    /// let on = |host: &str| MemberId { host: HostName::new(host).unwrap(), disk: DiskId(1) };
    /// let members = Membership::of([on("b"), on("a")]);
    /// assert_eq!(members.bootstrap_member(), Some(&on("a")));
    /// ```
    #[must_use]
    pub fn bootstrap_member(&self) -> Option<&MemberId> {
        self.voters.first()
    }

    /// How many voters make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &MemberId> {
        self.voters.iter().chain(self.learners.keys())
    }

    /// Whether `member` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, member: &MemberId) -> bool {
        self.voters.contains(member) || self.learners.contains_key(member)
    }

    /// Whether `granted` holds a majority of the voters.
    #[must_use]
    pub fn has_quorum(&self, granted: &BTreeSet<MemberId>) -> bool {
        self.voters.intersection(granted).count() >= self.quorum()
    }

    /// The greatest value that a majority of the voters has reached.
    pub fn quorum_value<T: Ord>(&self, value_of: impl Fn(&MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1)
    }

    /// The membership in which `learner` has become a voter and `replaced` is to leave.
    #[must_use]
    pub(crate) fn promoted(&self, learner: &MemberId, replaced: Option<MemberId>) -> Self {
        let mut next = self.clone();
        next.learners.remove(learner);
        next.voters.insert(learner.clone());
        next.leaving = replaced.filter(|old| next.voters.contains(old));
        next
    }

    /// The membership without `member`.
    #[must_use]
    pub(crate) fn without(&self, member: &MemberId) -> Self {
        let mut next = self.clone();
        next.voters.remove(member);
        next.learners.remove(member);
        if next.leaving.as_ref() == Some(member) {
            next.leaving = None;
        }
        next
    }
}
