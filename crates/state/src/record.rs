//! What the ledger knows about one key.

use crate::{AttemptId, BodyDigest, LogTime, Outcome, ProcessId};

/// Where a call stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BookingState {
    /// One attempt may have been dispatched.
    Open {
        /// The attempt.
        attempt: AttemptId,
        /// The one process that may dispatch it.
        sidecar: ProcessId,
        /// When its intent was written.
        since: LogTime,
    },
    /// The call has run; this is its answer.
    Done {
        /// The attempt that ran.
        attempt: AttemptId,
        /// The recorded answer.
        outcome: Outcome,
    },
    /// No attempt was dispatched so far.
    Idle,
}

/// The record of one key of one account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BookingRecord {
    /// Digest of the request.
    pub body: BodyDigest,
    /// When the record expires.
    pub due: LogTime,
    /// When a dated key was made; `None` for a plain key, which needs a tombstone later.
    pub issued: Option<LogTime>,
    /// Attempts that were disowned; none of them may start or end again.
    pub closed: Vec<AttemptId>,
    /// Where the call stands.
    pub state: BookingState,
}

impl BookingRecord {
    /// Starts `attempt`.
    ///
    /// # Panics
    /// When an attempt is open or was dispatched, or when `attempt` was closed: the call could then
    /// run twice.
    pub(crate) fn start(&mut self, attempt: AttemptId, sidecar: &ProcessId, now: LogTime) {
        assert!(
            self.state == BookingState::Idle,
            "attempt {attempt} starts while another is open or done"
        );
        assert!(
            !self.closed.contains(&attempt),
            "attempt {attempt} starts after it was closed"
        );
        self.state = BookingState::Open {
            attempt,
            sidecar: sidecar.clone(),
            since: now,
        };
    }

    /// Closes the open attempt.
    pub(crate) fn close(&mut self, attempt: AttemptId) {
        assert!(self.is_open(attempt), "attempt {attempt} is not open");
        self.closed.push(attempt);
        self.state = BookingState::Idle;
    }

    /// Records the answer of the open attempt.
    pub(crate) fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        assert!(self.is_open(attempt), "attempt {attempt} is not open");
        self.state = BookingState::Done { attempt, outcome };
    }

    /// The attempt that may have been dispatched and has not ended.
    #[must_use]
    pub fn open_attempt(&self) -> Option<AttemptId> {
        match &self.state {
            BookingState::Open { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }

    /// Whether `attempt` is the open one.
    #[must_use]
    pub fn is_open(&self, attempt: AttemptId) -> bool {
        self.open_attempt() == Some(attempt)
    }

    /// Bytes of the recorded answer.
    pub(crate) fn answer_bytes(&self) -> u32 {
        match &self.state {
            BookingState::Done { outcome, .. } => outcome.bytes(),
            _ => 0,
        }
    }
}
