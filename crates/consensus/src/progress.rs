//! What the leader knows of one other member.

use std::time::Duration;

use crate::{LogIndex, Snapshot};

/// How the leader sends to a member.
#[derive(Debug, Clone)]
pub(crate) enum Mode {
    /// Looks for the last matching entry, one message at a time.
    Probe {
        /// A message is under way.
        sent: bool,
    },
    /// Sends entries as they come, without waiting for answers.
    Replicate,
    /// Sends a snapshot in parts, one part at a time.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Checksum of its data.
        crc: u32,
        /// Start of the part to send, in bytes.
        offset: u64,
        /// The part is under way.
        sent: bool,
    },
}

/// What the leader knows of one other member.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// Last entry that the member has synced and that matches.
    pub(crate) matched: LogIndex,
    /// Next entry to send.
    pub(crate) next: LogIndex,
    /// How to send.
    pub(crate) mode: Mode,
    /// When the member was last heard.
    pub(crate) heard: Duration,
    /// Latest round of heartbeats that the member answered.
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
            heard: now,
            round: 0,
            commit_sent: LogIndex(0),
        }
    }

    /// Takes in that the member's synced log matches up to `matched`.
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

    /// Takes in that the member lacks `prev_index`; an answer to an old message changes nothing.
    pub(crate) fn reject(&mut self, prev_index: LogIndex, hint: LogIndex) {
        let outdated = prev_index <= self.matched || prev_index >= self.next;
        if outdated || matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.next = hint.next().clamp(self.matched.next(), prev_index);
        self.mode = Mode::Probe { sent: false };
    }

    /// A new heartbeat is due: what was sent since the last may be lost, so send it again.
    pub(crate) fn allow_resend(&mut self) {
        match &mut self.mode {
            Mode::Probe { sent } | Mode::Snapshot { sent, .. } => *sent = false,
            Mode::Replicate => {}
        }
    }

    /// Entries sent and not acknowledged.
    pub(crate) fn inflight(&self) -> u64 {
        self.next.prev().0.saturating_sub(self.matched.0)
    }
}
