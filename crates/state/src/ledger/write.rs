//! The writes to the ledger.

use super::{
    AccountLedger, BookingRecord, BookingState, Ledger, LedgerOp, LedgerRefusal, LedgerReply,
    LogTime,
};
use crate::{AttemptId, Close, ClosedBy, Intent, Outcome};

impl Ledger {
    pub(super) fn apply_intent(
        &mut self,
        now: LogTime,
        op: &LedgerOp,
        intent: &Intent,
    ) -> LedgerReply {
        let limits = self.limits;
        let account = self.accounts.get_mut(&op.account);
        if let Some(record) = account.and_then(|a| a.records.get(&op.key)) {
            return match reply_from_record(record, intent, limits.attempts_per_key) {
                Some(reply) => reply,
                None => self.start(now, op, intent),
            };
        }
        if let Some(refused) = self.refuse_new_key(now, op, intent) {
            return refused;
        }
        let record = BookingRecord {
            body: intent.body,
            expires_at: now.after(limits.retention()),
            issued: intent.issued,
            closed: Vec::new(),
            state: BookingState::Idle,
        };
        self.by_expiry
            .insert((record.expires_at, op.account.clone(), op.key));
        let a = self.accounts.entry(op.account.clone()).or_default();
        a.usage.add(&record);
        a.records.insert(op.key, record);
        self.start(now, op, intent)
    }

    /// The refusal of a key without a record: it is too old, or no record can be kept for it.
    /// `None` if it may start.
    fn refuse_new_key(&self, now: LogTime, op: &LedgerOp, intent: &Intent) -> Option<LedgerReply> {
        let limits = &self.limits;
        let none = AccountLedger::default();
        let a = self.accounts.get(&op.account).unwrap_or(&none);
        let refused = |reason| Some(LedgerReply::Refused(reason));
        match intent.issued {
            Some(issued) if issued > now => return refused(LedgerRefusal::NotYetIssued),
            Some(issued) if Some(issued) <= self.floor => return Some(LedgerReply::TooOld),
            Some(_) => {}
            None if a.tombstones.contains(&op.key.tombstone()) => return Some(LedgerReply::TooOld),
            // Without a tombstone the key could run again after its record has expired.
            None if !a.usage.has_tombstone_capacity(limits) => {
                return refused(LedgerRefusal::PlainKeysExhausted);
            }
            None => {}
        }
        if a.usage.records >= limits.records_per_account {
            return refused(LedgerRefusal::AccountFull);
        }
        None
    }

    fn start(&mut self, now: LogTime, op: &LedgerOp, intent: &Intent) -> LedgerReply {
        self.update(op, |record, _| {
            record.start(intent.attempt, &intent.sidecar, now);
            LedgerReply::Started
        })
    }

    pub(super) fn record_outcome(
        &mut self,
        op: &LedgerOp,
        attempt: AttemptId,
        outcome: &Outcome,
    ) -> LedgerReply {
        let limits = self.limits;
        self.update(op, |record, answer_bytes| match &record.state {
            // The outcome was proposed twice, or the attempt was resolved before: the first outcome
            // stands, so that every caller gets the same answer.
            BookingState::Done {
                attempt: done,
                outcome,
            } => match *done == attempt {
                true => LedgerReply::AlreadyDone(outcome.clone()),
                false => LedgerReply::Refused(LedgerRefusal::NotOpen),
            },
            _ if record.closed.contains(&attempt) => {
                LedgerReply::Refused(LedgerRefusal::AttemptClosed)
            }
            _ if !record.is_open(attempt) => LedgerReply::Refused(LedgerRefusal::NotOpen),
            _ => {
                let available = limits.answer_bytes_per_account.saturating_sub(answer_bytes);
                record.finish(attempt, outcome.clone().within(&limits, available));
                LedgerReply::Recorded
            }
        })
    }

    pub(super) fn close(&mut self, op: &LedgerOp, close: &Close) -> LedgerReply {
        self.update(op, |record, _| {
            if record.closed.contains(&close.attempt) {
                return LedgerReply::Closed;
            }
            let BookingState::Open {
                attempt, sidecar, ..
            } = &record.state
            else {
                return LedgerReply::Refused(LedgerRefusal::NotOpen);
            };
            if *attempt != close.attempt {
                return LedgerReply::Refused(LedgerRefusal::NotOpen);
            }
            let is_authorized = match &close.by {
                ClosedBy::Sidecar(by) => by == sidecar,
                ClosedBy::Entry(by) => *by == attempt.entry,
            };
            if !is_authorized {
                return LedgerReply::Refused(LedgerRefusal::NotAuthorized);
            }
            record.close(close.attempt);
            LedgerReply::Closed
        })
    }

    /// Updates the record of a key and the usage of its account. `f` gets the record and the bytes
    /// of recorded answers of the account.
    fn update(
        &mut self,
        op: &LedgerOp,
        f: impl FnOnce(&mut BookingRecord, u32) -> LedgerReply,
    ) -> LedgerReply {
        let Some(a) = self.accounts.get_mut(&op.account) else {
            return LedgerReply::Refused(LedgerRefusal::NoRecord);
        };
        let Some(record) = a.records.get_mut(&op.key) else {
            return LedgerReply::Refused(LedgerRefusal::NoRecord);
        };
        let answer_bytes = a.usage.answer_bytes;
        a.usage.remove(record);
        let reply = f(record, answer_bytes);
        a.usage.add(record);
        reply
    }
}

/// The reply to an intent for a key that has a record; `None` if the attempt may start.
fn reply_from_record(
    record: &BookingRecord,
    intent: &Intent,
    max_attempts: u32,
) -> Option<LedgerReply> {
    if record.body != intent.body {
        return Some(LedgerReply::BodyMismatch);
    }
    match &record.state {
        BookingState::Done { outcome, .. } => Some(LedgerReply::AlreadyDone(outcome.clone())),
        BookingState::Open {
            attempt,
            sidecar,
            since,
        } => {
            // A duplicate proposal gets the same reply; its entry dispatches the attempt once.
            let is_resent = *attempt == intent.attempt && *sidecar == intent.sidecar;
            Some(match is_resent {
                true => LedgerReply::Started,
                false => LedgerReply::InDoubt {
                    attempt: *attempt,
                    sidecar: sidecar.clone(),
                    since: *since,
                },
            })
        }
        // A late duplicate of a closed attempt's intent; no sidecar dispatches it any more.
        BookingState::Idle if record.closed.contains(&intent.attempt) => {
            Some(LedgerReply::Refused(LedgerRefusal::AttemptClosed))
        }
        BookingState::Idle if record.closed.len() >= max_attempts as usize => {
            Some(LedgerReply::Refused(LedgerRefusal::TooManyAttempts))
        }
        BookingState::Idle => None,
    }
}
