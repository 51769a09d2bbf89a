//! Replication progress of a member, as tracked by the leader.

use std::time::Duration;

use crate::{LogIndex, Snapshot};

/// Replication mode of a member.
#[derive(Debug, Clone)]
pub(crate) enum Mode {
    /// Searches for the last matching entry, one message at a time.
    Probe {
        /// Whether a message is in flight.
        sent: bool,
    },
    /// Pipelines entries without waiting for replies.
    Replicate,
    /// Sends a snapshot, one chunk at a time.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Checksum of its data.
        crc: u32,
        /// Offset of the next chunk, in bytes.
        offset: u64,
        /// Whether the chunk is in flight.
        sent: bool,
    },
}

/// Replication progress of a member, as tracked by the leader.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// Last matching entry that the member has synced.
    pub(crate) matched: LogIndex,
    /// Next entry to send.
    pub(crate) next: LogIndex,
    /// Replication mode.
    pub(crate) mode: Mode,
    /// When the member's last reply was received.
    pub(crate) last_contact: Duration,
    /// Latest heartbeat round that the member answered.
    pub(crate) round: u64,
    /// Commit index last sent.
    pub(crate) commit_sent: LogIndex,
}

impl Progress {
    pub(crate) fn new(now: Duration, last: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next: last.next(),
            mode: Mode::Probe { sent: false },
            last_contact: now,
            round: 0,
            commit_sent: LogIndex(0),
        }
    }

    /// Records that the member's synced log matches up to `matched`.
    pub(crate) fn acknowledge(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        match &self.mode {
            Mode::Snapshot { snapshot, .. } if matched < snapshot.meta.index => {}
            Mode::Replicate => {}
            Mode::Probe { .. } | Mode::Snapshot { .. } => {
                self.next = self.matched.next();
                self.mode = Mode::Replicate;
            }
        }
    }

    /// Records that the member's log does not match at `prev_index`. Outdated replies are ignored.
    pub(crate) fn reject(&mut self, prev_index: LogIndex, hint: LogIndex) {
        let is_outdated = prev_index <= self.matched || prev_index >= self.next;
        if is_outdated || matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.next = hint.next().clamp(self.matched.next(), prev_index);
        self.mode = Mode::Probe { sent: false };
    }

    /// Allows a resend at the next heartbeat, in case the last message was lost.
    pub(crate) fn allow_resend(&mut self) {
        match &mut self.mode {
            Mode::Probe { sent } | Mode::Snapshot { sent, .. } => *sent = false,
            Mode::Replicate => {}
        }
    }

    /// Number of entries sent and not acknowledged.
    pub(crate) fn inflight(&self) -> u64 {
        self.next.prev().0.saturating_sub(self.matched.0)
    }
}
