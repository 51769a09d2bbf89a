//! The writes of the ledger that an entry makes for a call that may not be repeated.

use coltsfootnotch_state::{
    AttemptId as LedgerAttempt, Close, ClosedBy, LedgerOp, LedgerWrite, Outcome, ProcessId,
    RecordedBody, Resolve,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::AttemptId;

use super::BookingKey;
use super::attempt_end::Collected;
use super::requests::Chosen;

/// The attempt as the ledger names it.
pub(super) fn ledger_attempt(attempt: AttemptId) -> LedgerAttempt {
    let number = attempt.request << 8 | u64::from(attempt.attempt & 0xff);
    LedgerAttempt {
        entry: attempt.entry,
        number,
    }
}

/// The attempt as the wire names it.
pub(super) fn wire_attempt(attempt: LedgerAttempt) -> AttemptId {
    let request = attempt.number >> 8;
    AttemptId {
        entry: attempt.entry,
        request,
        attempt: (attempt.number & 0xff) as u32,
    }
}

/// The intent to run a chosen attempt.
pub(super) fn intent(account: &AccountName, key: &BookingKey, chosen: &Chosen) -> LedgerOp {
    let sidecar = ProcessId {
        host: chosen.host.clone(),
        incarnation: chosen.sidecar,
    };
    LedgerOp::intent(
        account,
        &key.key,
        key.body,
        ledger_attempt(chosen.attempt),
        &sidecar,
    )
}

/// The end of an attempt that was not started.
pub(super) fn close(
    account: &AccountName,
    key: &BookingKey,
    attempt: AttemptId,
    by: ClosedBy,
) -> LedgerOp {
    let close = Close {
        attempt: ledger_attempt(attempt),
        by,
    };
    LedgerOp {
        account: account.clone(),
        key: key.key.digest,
        write: LedgerWrite::Close(close),
    }
}

/// What a rereading call found of an earlier attempt.
pub(super) fn settle(
    account: &AccountName,
    key: &BookingKey,
    attempt: AttemptId,
    found: &Collected,
) -> LedgerOp {
    let settle = Resolve {
        attempt: ledger_attempt(attempt),
        outcome: outcome_of(found),
    };
    LedgerOp {
        account: account.clone(),
        key: key.key.digest,
        write: LedgerWrite::Resolve(settle),
    }
}

fn outcome_of(answer: &Collected) -> Outcome {
    let headers = vec![("content-type".to_owned(), answer.content_type.clone())];
    let body = RecordedBody::Whole(answer.body.clone());
    Outcome {
        status: answer.status,
        headers,
        body,
    }
}

/// The answer of an attempt.
pub(super) fn outcome(
    account: &AccountName,
    key: &BookingKey,
    attempt: AttemptId,
    answer: &Collected,
) -> LedgerOp {
    let write = LedgerWrite::Outcome(ledger_attempt(attempt), outcome_of(answer));
    LedgerOp {
        account: account.clone(),
        key: key.key.digest,
        write,
    }
}
