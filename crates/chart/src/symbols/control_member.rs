//! States and events of the chart `control-member`; `charts/control-member.json` describes them.

use super::symbols;
use crate::{EventId, StateId};

symbols! {
    /// States of the chart `control-member`.
    ControlMemberState, StateId {
        Learner = "learner",
        Follower = "follower",
        PreCandidate = "pre-candidate",
        Candidate = "candidate",
        Leader = "leader",
        Removed = "removed",
        Stopped = "stopped",
    }
}

symbols! {
    /// Events of the chart `control-member`.
    ControlMemberEvent, EventId {
        Promoted = "promoted",
        Demoted = "demoted",
        Removed = "removed",
        LeaderMessage = "leader-message",
        ElectionTimeout = "election-timeout",
        PreVoteWon = "pre-vote-won",
        VoteWon = "vote-won",
        HigherTerm = "higher-term",
        QuorumLost = "quorum-lost",
        StorageFailed = "storage-failed",
    }
}
