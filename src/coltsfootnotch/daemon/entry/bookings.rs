//! Writes of the ledger that this entry has proposed, and their answers.
//!
//! A proposal whose answer is lost is proposed again as it was: the ledger gives the same answer.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_state::{
    AttemptId as LedgerAttempt, Close, Disowned, LedgerOp, LedgerReply, Op, Outcome, ProcessId,
    Record, RecordedBody, Reply, Settle,
};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, ProposeError};

use super::BookingKey;
use super::attempt_end::Collected;
use super::requests::Chosen;
use crate::core::{decode_reply, encode_op};
use crate::daemon::RelayClient;

/// Time after which an unanswered proposal is sent again.
const PROPOSE_AGAIN: Duration = Duration::from_millis(500);
/// Time after which a proposal is given up.
const GIVE_UP: Duration = Duration::from_secs(10);

/// What a write is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Intent,
    Close,
    CloseEarlier,
    Outcome,
    Settle,
}

/// The ledger's answer to a write; none when it is not known whether it was taken.
pub(super) struct Answered {
    pub(super) request: u64,
    pub(super) purpose: Purpose,
    pub(super) reply: Result<LedgerReply, ProposeError>,
}

struct Pending {
    request: u64,
    purpose: Purpose,
    command: Vec<u8>,
    first_sent: Duration,
    last_sent: Duration,
}

/// Writes without an answer.
#[derive(Default)]
pub(super) struct Bookings {
    pending: BTreeMap<u64, Pending>,
}

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
    by: Disowned,
) -> LedgerOp {
    let close = Close {
        attempt: ledger_attempt(attempt),
        by,
    };
    LedgerOp {
        account: account.clone(),
        key: key.key.digest,
        write: Record::Close(close),
    }
}

/// What a rereading call found of an earlier attempt.
pub(super) fn settle(
    account: &AccountName,
    key: &BookingKey,
    attempt: AttemptId,
    found: &Collected,
) -> LedgerOp {
    let settle = Settle {
        attempt: ledger_attempt(attempt),
        outcome: outcome_of(found),
    };
    LedgerOp {
        account: account.clone(),
        key: key.key.digest,
        write: Record::Settle(settle),
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
    let write = Record::Outcome(ledger_attempt(attempt), outcome_of(answer));
    LedgerOp {
        account: account.clone(),
        key: key.key.digest,
        write,
    }
}

impl Bookings {
    /// Proposes a write; none without a connection to a relay.
    pub(super) fn propose(
        &mut self,
        relay: &mut RelayClient,
        now: Duration,
        request: u64,
        purpose: Purpose,
        op: LedgerOp,
    ) -> Option<()> {
        let command = encode_op(&Op::Ledger(op));
        let id = relay.propose(command.clone())?;
        let pending = Pending {
            request,
            purpose,
            command,
            first_sent: now,
            last_sent: now,
        };
        self.pending.insert(id, pending);
        Some(())
    }

    /// Takes in an answer.
    pub(super) fn answered(
        &mut self,
        now: Duration,
        id: u64,
        reply: Result<Vec<u8>, ProposeError>,
    ) -> Option<Answered> {
        let pending = self.pending.get_mut(&id)?;
        let reply = match reply {
            Ok(bytes) => Ok(ledger_reply(&bytes)?),
            Err(ProposeError::Unknown) => {
                pending.last_sent = now.saturating_sub(PROPOSE_AGAIN);
                return None;
            }
            // The group may be electing a leader; an outcome is worth proposing until then.
            Err(ProposeError::NoQuorum) if pending.purpose != Purpose::Intent => {
                pending.last_sent = now;
                return None;
            }
            Err(e) if first_try(pending) => Err(e),
            // An earlier send of the same write may still be committed.
            Err(_) => Err(ProposeError::Unknown),
        };
        let pending = self.pending.remove(&id)?;
        Some(Answered {
            request: pending.request,
            purpose: pending.purpose,
            reply,
        })
    }

    /// Sends unanswered writes again, and gives up old ones.
    pub(super) fn tick(&mut self, relay: &mut RelayClient, now: Duration) -> Vec<Answered> {
        let due = |pending: &Pending| now >= pending.last_sent + PROPOSE_AGAIN;
        let ids: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| due(pending))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .filter_map(|id| self.again(relay, now, id))
            .collect()
    }

    fn again(&mut self, relay: &mut RelayClient, now: Duration, id: u64) -> Option<Answered> {
        let mut pending = self.pending.remove(&id)?;
        if now >= pending.first_sent + GIVE_UP {
            let reply = Err(ProposeError::Unknown);
            return Some(Answered {
                request: pending.request,
                purpose: pending.purpose,
                reply,
            });
        }
        pending.last_sent = now;
        match relay.propose(pending.command.clone()) {
            Some(new_id) => self.pending.insert(new_id, pending),
            None => self.pending.insert(id, pending),
        };
        None
    }
}

fn first_try(pending: &Pending) -> bool {
    pending.first_sent == pending.last_sent
}

fn ledger_reply(bytes: &[u8]) -> Option<LedgerReply> {
    match decode_reply(bytes).ok()? {
        Reply::Ledger(reply) => Some(reply),
        _ => None,
    }
}
