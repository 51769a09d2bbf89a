//! Settings of a member.

use std::time::Duration;

/// Settings of a member. All members of a group should use the same intervals and timeouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoreConfig {
    /// Interval between the leader's heartbeats.
    pub heartbeat: Duration,
    /// A member that received from the leader within this time votes for no other candidate, and a
    /// leader without contact to a majority for this time steps down. Elections start after one to
    /// two timeouts without a leader.
    pub election_timeout: Duration,
    /// Answer reads under the quorum lease, without a round of heartbeats. Unsafe for a process
    /// that can be suspended while its clock stops.
    pub lease_reads: bool,
    /// Maximum rate error of any member's clock, in parts per thousand. The lease is shortened to
    /// allow for it on both the leader and the followers.
    pub drift_per_mille: u32,
    /// Maximum bytes of entries in one message.
    pub max_append_bytes: usize,
    /// Maximum number of entries sent to a member and not yet acknowledged.
    pub max_inflight_entries: u64,
    /// Maximum bytes of uncommitted proposals; further proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// Maximum size of a command, in bytes.
    pub max_command_bytes: usize,
    /// Take a snapshot after this many entries.
    pub snapshot_entries: u64,
    /// Take a snapshot after this many bytes of entries.
    pub snapshot_bytes: usize,
    /// Entries kept in memory after a snapshot, so that a slightly lagging member can catch up from
    /// the log.
    pub keep_entries: u64,
    /// Maximum bytes of those entries. Otherwise 500 large commands stay in memory for a member that a
    /// snapshot brings up to date as well.
    pub keep_bytes: usize,
    /// Bytes of snapshot data in one message.
    pub chunk_bytes: usize,
    /// Promote a learner to voter as soon as it has caught up. If false, promotion requires
    /// [`MemberChange::Promote`](crate::MemberChange::Promote).
    pub promote_learners: bool,
}

impl Default for CoreConfig {
    /// Suited to failure domains one or two milliseconds apart and syncs of a few milliseconds. The
    /// election timeout spans six heartbeats, so that a slow sync does not trigger an election; a
    /// failed leader is replaced within about a second.
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

/// Denominator of [`CoreConfig::drift_per_mille`].
const PER_MILLE: u32 = 1000;

impl CoreConfig {
    /// Duration of the leader's lease on its local clock, from the time a heartbeat was sent that a
    /// majority has answered.
    ///
    /// A follower refuses other candidates for `election_timeout` on its clock. If that clock runs
    /// fast, this is `election_timeout / (1 + drift)` of real time; if the leader's clock runs
    /// slow, the lease must end after `(1 - drift)` of that.
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
