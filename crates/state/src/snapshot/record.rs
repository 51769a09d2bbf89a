//! Ledger records in a snapshot.

use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, BodyDigest, BookingRecord, BookingState, LogTime, Outcome, ProcessId, SnapshotError,
};

#[derive(Serialize, Deserialize)]
pub(super) struct RecordV1 {
    body: BodyDigest,
    expires_at: LogTime,
    issued: Option<LogTime>,
    closed: Vec<AttemptId>,
    state: RecordStateV1,
}

#[derive(Serialize, Deserialize)]
enum RecordStateV1 {
    Open(AttemptId, ProcessId, LogTime),
    Done(AttemptId, Outcome),
    Idle,
}

impl From<&BookingRecord> for RecordV1 {
    fn from(record: &BookingRecord) -> Self {
        let state = match &record.state {
            BookingState::Open {
                attempt,
                sidecar,
                since,
            } => RecordStateV1::Open(*attempt, sidecar.clone(), *since),
            BookingState::Done { attempt, outcome } => {
                RecordStateV1::Done(*attempt, outcome.clone())
            }
            BookingState::Idle => RecordStateV1::Idle,
        };
        Self {
            body: record.body,
            expires_at: record.expires_at,
            issued: record.issued,
            closed: record.closed.clone(),
            state,
        }
    }
}

impl TryFrom<RecordV1> for BookingRecord {
    type Error = SnapshotError;

    fn try_from(disk: RecordV1) -> Result<Self, SnapshotError> {
        let (attempt, state) = match disk.state {
            RecordStateV1::Open(attempt, sidecar, since) => (
                Some(attempt),
                BookingState::Open {
                    attempt,
                    sidecar,
                    since,
                },
            ),
            RecordStateV1::Done(attempt, outcome) => {
                (Some(attempt), BookingState::Done { attempt, outcome })
            }
            RecordStateV1::Idle => (None, BookingState::Idle),
        };
        if attempt.is_some_and(|a| disk.closed.contains(&a)) {
            let what = "a closed attempt is open or done";
            return Err(SnapshotError::Inconsistent { what });
        }
        Ok(Self {
            body: disk.body,
            expires_at: disk.expires_at,
            issued: disk.issued,
            closed: disk.closed,
            state,
        })
    }
}
