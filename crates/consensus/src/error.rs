//! Errors of the core.

use derive_more::{Display, Error};

use crate::MemberId;

/// The operation requires the leader.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("this member does not lead the group")]
pub struct NotLeader {
    /// The leader, if known.
    #[error(not(source))]
    pub hint: Option<MemberId>,
}

/// Why a proposal was refused. A refused proposal was not appended to the log.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ProposeRefused {
    /// Only the leader accepts proposals.
    #[display("this member does not lead the group")]
    NotLeader {
        /// The leader, if known.
        #[error(not(source))]
        hint: Option<MemberId>,
    },
    /// Too many bytes of proposals are uncommitted; retry when some have been committed.
    #[display("{waiting} bytes of proposals wait to be committed")]
    Busy {
        /// Bytes of uncommitted proposals.
        waiting: usize,
    },
    /// The command is too long for one entry.
    #[display("a command of {len} bytes exceeds the limit of {limit} bytes")]
    TooLong {
        /// Its size in bytes.
        len: usize,
        /// The limit in bytes.
        limit: usize,
    },
}

/// Why a membership change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ChangeRefused {
    /// Only the leader changes the membership.
    #[display("this member does not lead the group")]
    NotLeader {
        /// The leader, if known.
        #[error(not(source))]
        hint: Option<MemberId>,
    },
    /// An earlier change is uncommitted, or no entry of the leader's term has been committed yet.
    #[display("an earlier membership change is still in progress")]
    Unfinished,
    /// The member to add is a member already.
    #[display("{member} is already a member")]
    AlreadyMember {
        /// The member to add.
        #[error(not(source))]
        member: MemberId,
    },
    /// The member to remove is not a member, or the member to replace is not a voter.
    #[display("{member} is not a member that can be removed")]
    NotMember {
        /// The member named.
        #[error(not(source))]
        member: MemberId,
    },
    /// The member to promote is not a learner.
    #[display("{member} is not a learner")]
    NotLearner {
        /// The member named.
        #[error(not(source))]
        member: MemberId,
    },
    /// The learner lacks committed entries. Guards against a promotion that leaves the group unable
    /// to commit.
    #[display("{member} has not caught up")]
    NotCaughtUp {
        /// The learner.
        #[error(not(source))]
        member: MemberId,
    },
    /// The leader can't remove itself; transfer leadership first.
    #[display("the leader can't remove itself")]
    IsLeader,
    /// The last voter can't be removed.
    #[display("the last voter can't be removed")]
    LastVoter,
}

/// Why leadership can't be transferred.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum TransferRefused {
    /// Only the leader can transfer leadership.
    #[display("this member does not lead the group")]
    NotLeader {
        /// The leader, if known.
        #[error(not(source))]
        hint: Option<MemberId>,
    },
    /// No other voter can take over.
    #[display("no other voter can take over")]
    NoSuccessor,
}

/// Why a group can't be bootstrapped by this member.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum BootstrapRefused {
    /// The member has entries, so it belongs to a group.
    #[display("this member already belongs to a group")]
    NotEmpty,
    /// Another member bootstraps the group; see
    /// [`Membership::bootstrap_member`](crate::Membership::bootstrap_member).
    #[display("the group is bootstrapped by {expected}, not by this member")]
    NotBootstrapMember {
        /// The member that bootstraps the group.
        #[error(not(source))]
        expected: MemberId,
    },
    /// The list of members is empty.
    #[display("the list of members is empty")]
    NoMembers,
}
