//! State of a leader.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::progress::Progress;
use crate::{LogIndex, MemberId, ReadId};

/// A read that is not yet confirmed.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) id: ReadId,
    /// The heartbeat round that a majority must answer to confirm the leadership.
    pub(super) round: u64,
    /// The entry that must be applied first; `None` until an entry of the leader's term is
    /// committed.
    pub(super) index: Option<LogIndex>,
}

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) to: MemberId,
    pub(super) deadline: Duration,
    pub(super) timeout_now_sent: bool,
}

/// State that only a leader has.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<MemberId, Progress>,
    /// The leader's first entry of its term.
    pub(super) term_start: LogIndex,
    pub(super) heartbeat_due: Duration,
    /// The commit index at the last two heartbeats, latest first. A member that has synced up to
    /// the earlier one has caught up; under load, even a healthy member lacks the entries in
    /// flight.
    pub(super) commit_at_heartbeats: [LogIndex; 2],
    /// The last heartbeat round sent.
    pub(super) round: u64,
    /// Start times of the rounds from the last one that a majority has answered.
    pub(super) rounds: VecDeque<(u64, Duration)>,
    pub(super) reads: VecDeque<PendingRead>,
    /// Bytes of uncommitted proposals.
    pub(super) uncommitted: usize,
    pub(super) transfer: Option<Transfer>,
    /// A transfer was requested in this term. The request may arrive late, and followers accept the
    /// resulting election, so the lease is no longer valid.
    pub(super) lease_revoked: bool,
}

impl Leader {
    /// When the round that a majority answered last was started.
    pub(super) fn confirmed_at(&self, quorum_round: u64) -> Option<Duration> {
        let confirmed = self.rounds.iter().find(|(round, _)| *round == quorum_round);
        confirmed.map(|(_, started)| *started)
    }
}
