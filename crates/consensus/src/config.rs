//! Settings of a member.

use std::time::Duration;

/// Settings of a member. All members of a group should have the same times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoreConfig {
    /// Time between heartbeats of the leader.
    pub heartbeat: Duration,
    /// A member that has heard the leader within this time refuses to elect another, and a leader
    /// that has not heard a majority within it steps down. Elections start after one to two of it.
    pub election_timeout: Duration,
    /// Answer reads under the quorum lease without a round of heartbeats. A process that can be
    /// suspended while its clock stands still must not do so.
    pub lease_reads: bool,
    /// How far the rate of any member's clock can be off, in parts per thousand. The lease is
    /// shortened by it at both ends.
    pub drift_per_mille: u32,
    /// Most bytes of entries in one message.
    pub max_append_bytes: usize,
    /// Most entries sent to a member and not acknowledged by it.
    pub max_inflight_entries: u64,
    /// Most bytes of proposals that wait to be committed; more are refused.
    pub max_uncommitted_bytes: usize,
    /// Longest command in bytes.
    pub max_command_bytes: usize,
    /// Take a snapshot after this many entries.
    pub snapshot_entries: u64,
    /// Take a snapshot after this many bytes of entries.
    pub snapshot_bytes: usize,
    /// Entries kept in memory behind a snapshot, so that a member that lags a little needs none.
    pub keep_entries: u64,
    /// Most bytes of those entries: without it 500 large commands would stay in memory for a member
    /// that a snapshot brings up to date as well.
    pub keep_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Make a learner a voter as soon as it has caught up. Otherwise it waits for
    /// [`MemberChange::Promote`](crate::MemberChange::Promote).
    pub promote_learners: bool,
}

impl Default for CoreConfig {
    /// Failure domains are a millisecond or two apart and a sync takes some milliseconds, so a
    /// heartbeat each 50 ms costs little, and 300 ms (six lost heartbeats) keeps a slow sync from
    /// looking like a dead leader. A new leader is found within about a second.
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            lease_reads: false,
            drift_per_mille: 10,
            max_append_bytes: 256 * 1024,
            max_inflight_entries: 4096,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            max_command_bytes: 1024 * 1024,
            snapshot_entries: 1000,
            snapshot_bytes: 8 * 1024 * 1024,
            keep_entries: 500,
            keep_bytes: 4 * 1024 * 1024,
            chunk_bytes: 64 * 1024,
            promote_learners: true,
        }
    }
}

/// Parts in a whole, for [`CoreConfig::drift_per_mille`].
const PER_MILLE: u32 = 1000;

impl CoreConfig {
    /// How long the leader may rely on a heartbeat that a majority answered, counted on its own
    /// clock from when the heartbeat was sent.
    ///
    /// A follower refuses other leaders for `election_timeout` on its clock, which may run fast:
    /// that is at least `election_timeout / (1 + drift)` of real time. The leader's clock may run
    /// slow: it must stop after `(1 - drift)` of that.
    ///
    /// ```
    /// use coltsfootnotch_consensus::CoreConfig;
    /// let cfg = CoreConfig::default();
    /// assert!(cfg.lease() < cfg.election_timeout);
    /// ```
    #[must_use]
    pub fn lease(&self) -> Duration {
        let drift = self.drift_per_mille.min(PER_MILLE);
        self.election_timeout * (PER_MILLE - drift) / (PER_MILLE + drift)
    }
}
