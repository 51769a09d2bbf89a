//! What only the leader keeps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::progress::Progress;
use crate::{LogIndex, MemberId, ReadId};

/// A read that waits to be confirmed.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) id: ReadId,
    /// A majority that answers this round shows that the member still leads.
    pub(super) round: u64,
    /// What must be applied first; unknown until an entry of the leader's term is committed.
    pub(super) index: Option<LogIndex>,
}

/// A transfer of the leadership under way.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) to: MemberId,
    pub(super) deadline: Duration,
    pub(super) asked: bool,
}

/// What only the leader keeps.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<MemberId, Progress>,
    /// The leader's first entry of its term.
    pub(super) first: LogIndex,
    pub(super) heartbeat_due: Duration,
    /// The commit index at the last heartbeat and at the one before. A member that has synced the earlier
    /// one has caught up: under load even a sound member lacks what is under way to it.
    pub(super) commit_at_heartbeats: [LogIndex; 2],
    /// The round of heartbeats sent last.
    pub(super) round: u64,
    /// When the rounds began that a majority has not gone beyond yet.
    pub(super) rounds: VecDeque<(u64, Duration)>,
    pub(super) reads: VecDeque<PendingRead>,
    /// Bytes of proposals that are not committed.
    pub(super) uncommitted: usize,
    pub(super) transfer: Option<Transfer>,
    /// The leadership was offered to another in this term. The offer may arrive late, and the
    /// followers won't refuse that election, so no lease holds any more.
    pub(super) lease_void: bool,
}

impl Leader {
    /// When the latest round began that a majority answered.
    pub(super) fn confirmed_at(&self, quorum_round: u64) -> Option<Duration> {
        let confirmed = self.rounds.iter().find(|(round, _)| *round == quorum_round);
        confirmed.map(|(_, began)| *began)
    }
}
