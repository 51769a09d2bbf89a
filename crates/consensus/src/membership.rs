//! Membership of the group and changes to it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::MemberId;

/// The members of the group, as recorded in a log entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose votes and synced entries count towards a quorum.
    pub voters: BTreeSet<MemberId>,
    /// Non-voting members that receive the log, each with the voter it will replace.
    pub learners: BTreeMap<MemberId, Option<MemberId>>,
    /// A replaced voter that is to be removed next.
    pub leaving: Option<MemberId>,
    /// The number of voters that the group is meant to have. A group that has lost voters has fewer
    /// until other members are promoted.
    pub size: usize,
}

/// A membership change. At most one voter changes at a time, so that every majority before the
/// change overlaps with every majority after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a new member as a learner. With [`CoreConfig::promote_learners`](crate::CoreConfig) it
    /// becomes a voter once its synced log has caught up; then the voter that it `replaces` is
    /// removed.
    Add {
        /// The new member.
        member: MemberId,
        /// The voter to remove once the new member is a voter.
        replaces: Option<MemberId>,
    },
    /// Promotes a learner that has caught up to voter; then the voter that it `replaces` is
    /// removed.
    Promote {
        /// The learner.
        member: MemberId,
        /// The voter to remove next.
        replaces: Option<MemberId>,
    },
    /// Removes a learner, or a voter that is lost. The intended size of the group stays.
    Remove {
        /// The member to remove.
        member: MemberId,
    },
    /// Removes a learner, or a voter for which no other member is wanted: the intended size of the
    /// group decreases.
    Retire {
        /// The member to remove.
        member: MemberId,
    },
}

impl Membership {
    /// A membership with the given voters and no learners, of the size that it has.
    ///
    /// ```
    /// use coltsfootnotch_consensus::Membership;
    /// assert_eq!(Membership::of([]).quorum(), 1);
    /// ```
    #[must_use]
    pub fn of(voters: impl IntoIterator<Item = MemberId>) -> Self {
        let voters: BTreeSet<_> = voters.into_iter().collect();
        Self {
            size: voters.len(),
            voters,
            ..Self::default()
        }
    }

    /// The voter that bootstraps the group by writing its first entry: the one with the lowest id.
    /// Since all hosts agree on it, no two members write different first entries.
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

    /// Number of voters in a majority.
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

    /// Whether `granted` contains a majority of the voters.
    #[must_use]
    pub fn has_quorum(&self, granted: &BTreeSet<MemberId>) -> bool {
        self.voters.intersection(granted).count() >= self.quorum()
    }

    /// The greatest value that a majority of the voters has reached; `None` without voters.
    pub fn quorum_value<T: Ord>(&self, value_of: impl Fn(&MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1)
    }

    /// The membership with `learner` promoted to voter and `replaced` marked for removal.
    #[must_use]
    pub(crate) fn promoted(&self, learner: &MemberId, replaced: Option<MemberId>) -> Self {
        let mut next = self.clone();
        next.learners.remove(learner);
        next.voters.insert(learner.clone());
        next.leaving = replaced.filter(|old| next.voters.contains(old));
        let staying = next.voters.len() - usize::from(next.leaving.is_some());
        next.size = next.size.max(staying);
        next
    }

    /// The membership without `member`, of the same intended size.
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

    /// The membership without `member`; the intended size decreases if it is a voter.
    #[must_use]
    pub(crate) fn retired(&self, member: &MemberId) -> Self {
        let mut next = self.without(member);
        if self.voters.contains(member) {
            next.size -= 1;
        }
        next
    }
}
