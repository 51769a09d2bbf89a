//! Why the core refuses a request.

use derive_more::{Display, Error};

use crate::MemberId;

/// Only the leader can do this.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("this member does not lead the group")]
pub struct NotLeader {
    /// The leader, where it is known.
    #[error(not(source))]
    pub hint: Option<MemberId>,
}

/// Why a proposal was refused. A refused proposal was not taken into the log.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ProposeRefused {
    /// Only the leader takes proposals.
    #[display("this member does not lead the group")]
    NotLeader {
        /// The leader, where it is known.
        #[error(not(source))]
        hint: Option<MemberId>,
    },
    /// Too many proposals wait for a majority to sync them; try again when some are committed.
    #[display("{waiting} bytes of proposals wait to be committed")]
    Busy {
        /// Bytes that wait.
        waiting: usize,
    },
    /// The command is too long for one entry.
    #[display("a command of {len} bytes is longer than {limit}")]
    TooLong {
        /// Its size in bytes.
        len: usize,
        /// The limit in bytes.
        limit: usize,
    },
}

/// Why a change of members was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ChangeRefused {
    /// Only the leader changes the members.
    #[display("this member does not lead the group")]
    NotLeader {
        /// The leader, where it is known.
        #[error(not(source))]
        hint: Option<MemberId>,
    },
    /// An earlier change is not committed yet, or the leader's term has not committed an entry.
    #[display("an earlier change is still under way")]
    Unfinished,
    /// The newcomer is a member already.
    #[display("{member} is a member already")]
    AlreadyMember {
        /// The newcomer.
        #[error(not(source))]
        member: MemberId,
    },
    /// The member to remove or to replace is none.
    #[display("{member} is not a member that can be removed")]
    NotMember {
        /// The member named.
        #[error(not(source))]
        member: MemberId,
    },
    /// The member to promote is no learner.
    #[display("{member} is not a learner")]
    NotLearner {
        /// The member named.
        #[error(not(source))]
        member: MemberId,
    },
    /// The learner lacks entries that are committed; promoted, it could keep the group from committing.
    #[display("{member} has not caught up")]
    NotCaughtUp {
        /// The learner.
        #[error(not(source))]
        member: MemberId,
    },
    /// The leader can't remove itself; transfer the leadership first.
    #[display("the leader can't remove itself")]
    IsLeader,
    /// The last voter can't be removed.
    #[display("the last voter can't be removed")]
    LastVoter,
}

/// Why the leadership can't be transferred.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum TransferRefused {
    /// Only the leader hands over.
    #[display("this member does not lead the group")]
    NotLeader {
        /// The leader, where it is known.
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
    /// The member holds entries, so it belongs to a group.
    #[display("this member belongs to a group already")]
    NotEmpty,
    /// Another member bootstraps the group; see [`Membership::bootstrap_member`](crate::Membership::bootstrap_member).
    #[display("the group is bootstrapped by {expected}, not by this member")]
    NotBootstrapMember {
        /// The member that bootstraps the group.
        #[error(not(source))]
        expected: MemberId,
    },
    /// The list of members is empty.
    #[display("a group needs members")]
    NoMembers,
}
