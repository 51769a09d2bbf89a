//! Ledger records.

use crate::{AttemptId, BodyDigest, LogTime, Outcome, ProcessId};

/// The state of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BookingState {
    /// An attempt may have been dispatched.
    Open {
        /// The attempt.
        attempt: AttemptId,
        /// The one process that may dispatch it.
        sidecar: ProcessId,
        /// Log time of its intent.
        since: LogTime,
    },
    /// The call has run.
    Done {
        /// The attempt that ran.
        attempt: AttemptId,
        /// The recorded answer.
        outcome: Outcome,
    },
    /// No attempt was dispatched.
    Idle,
}

/// The record of one key of one account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BookingRecord {
    /// Digest of the request.
    pub body: BodyDigest,
    /// Log time at which the record expires.
    pub expires_at: LogTime,
    /// Issue time of a dated key; `None` for a plain key, which leaves a tombstone.
    pub issued: Option<LogTime>,
    /// Closed attempts, which can neither start nor end.
    pub closed: Vec<AttemptId>,
    /// The state of the call.
    pub state: BookingState,
}

impl BookingRecord {
    /// Starts `attempt`.
    ///
    /// # Panics
    /// If another attempt is open or done, or if `attempt` was closed: the call could run twice.
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
    pub(crate) fn finish(&mut self, attempt: AttemptId, outcome: Outcome) {
        assert!(self.is_open(attempt), "attempt {attempt} is not open");
        self.state = BookingState::Done { attempt, outcome };
    }

    /// The open attempt.
    #[must_use]
    pub fn open_attempt(&self) -> Option<AttemptId> {
        match &self.state {
            BookingState::Open { attempt, .. } => Some(*attempt),
            _ => None,
        }
    }

    /// Whether `attempt` is the open attempt.
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
