//! The ledger writes of an entry for a non-repeatable call.

use coltsfootnotch_state::{
    AttemptId as LedgerAttempt, Close, ClosedBy, LedgerOp, LedgerWrite, ProcessId, Resolve,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::AttemptId;

use super::LedgerKey;
use super::attempt_result::CollectedResponse;
use super::requests::ChosenSlot;

/// Converts an attempt id of the wire to that of the ledger.
pub(super) fn to_ledger_attempt(attempt: AttemptId) -> LedgerAttempt {
    let number = attempt.request << 8 | u64::from(attempt.attempt & 0xff);
    LedgerAttempt {
        entry: attempt.entry,
        number,
    }
}

/// Converts an attempt id of the ledger to that of the wire.
pub(super) fn to_wire_attempt(attempt: LedgerAttempt) -> AttemptId {
    let request = attempt.number >> 8;
    AttemptId {
        entry: attempt.entry,
        request,
        attempt: (attempt.number & 0xff) as u32,
    }
}

/// Records the intent to run an attempt.
pub(super) fn intent(account: &AccountName, key: &LedgerKey, chosen: &ChosenSlot) -> LedgerOp {
    let sidecar = ProcessId {
        host: chosen.host.clone(),
        incarnation: chosen.sidecar,
    };
    LedgerOp::intent(
        account,
        &key.key,
        key.body,
        to_ledger_attempt(chosen.attempt),
        &sidecar,
    )
}

/// Closes an attempt that was not started.
pub(super) fn close(
    account: &AccountName,
    key: &LedgerKey,
    attempt: AttemptId,
    by: ClosedBy,
) -> LedgerOp {
    let close = Close {
        attempt: to_ledger_attempt(attempt),
        by,
    };
    LedgerOp {
        account: account.clone(),
        key: key.key.digest,
        write: LedgerWrite::Close(close),
    }
}

/// Resolves an earlier attempt with the response of a reread call.
pub(super) fn resolve(
    account: &AccountName,
    key: &LedgerKey,
    attempt: AttemptId,
    response: &CollectedResponse,
) -> LedgerOp {
    let resolve = Resolve {
        attempt: to_ledger_attempt(attempt),
        outcome: response.into(),
    };
    LedgerOp {
        account: account.clone(),
        key: key.key.digest,
        write: LedgerWrite::Resolve(resolve),
    }
}

/// Records the response of an attempt.
pub(super) fn outcome(
    account: &AccountName,
    key: &LedgerKey,
    attempt: AttemptId,
    response: &CollectedResponse,
) -> LedgerOp {
    let write = LedgerWrite::Outcome(to_ledger_attempt(attempt), response.into());
    LedgerOp {
        account: account.clone(),
        key: key.key.digest,
        write,
    }
}
