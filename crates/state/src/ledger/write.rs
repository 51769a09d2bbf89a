//! The four writes of the ledger.

use super::{
    AccountLedger, BookingRecord, BookingState, Ledger, LedgerOp, LedgerRefusal, LedgerReply,
    LogTime,
};
use crate::{AttemptId, Close, Disowned, Intent, Outcome};

impl Ledger {
    pub(super) fn intend(&mut self, now: LogTime, op: &LedgerOp, intent: &Intent) -> LedgerReply {
        let limits = self.limits;
        let account = self.accounts.get_mut(&op.account);
        if let Some(record) = account.and_then(|a| a.records.get(&op.key)) {
            return match known(record, intent, limits.attempts_per_key) {
                Some(reply) => reply,
                None => self.start(now, op, intent),
            };
        }
        if let Some(refused) = self.refuse_unknown(now, op, intent) {
            return refused;
        }
        let record = BookingRecord {
            body: intent.body,
            due: now.after(limits.retention()),
            issued: intent.issued,
            closed: Vec::new(),
            state: BookingState::Idle,
        };
        self.due.insert((record.due, op.account.clone(), op.key));
        let a = self.accounts.entry(op.account.clone()).or_default();
        a.usage.add(&record);
        a.records.insert(op.key, record);
        self.start(now, op, intent)
    }

    /// Why a key without a record may not start: it is too old, or there is no room to remember it.
    fn refuse_unknown(&self, now: LogTime, op: &LedgerOp, intent: &Intent) -> Option<LedgerReply> {
        let limits = &self.limits;
        let none = AccountLedger::default();
        let a = self.accounts.get(&op.account).unwrap_or(&none);
        let refused = |why| Some(LedgerReply::Refused(why));
        match intent.issued {
            Some(issued) if issued > now => return refused(LedgerRefusal::NotYetIssued),
            Some(issued) if Some(issued) <= self.floor => return Some(LedgerReply::TooOld),
            Some(_) => {}
            None if a.tombstones.contains(&op.key.tombstone()) => return Some(LedgerReply::TooOld),
            // Without room for its tombstone the key could not be refused once its record has
            // expired, and would run again; so it is not run at all.
            None if !a.usage.has_tombstone_room(limits) => {
                return refused(LedgerRefusal::PlainKeysUsedUp);
            }
            None => {}
        }
        if a.usage.records >= limits.records_per_account {
            return refused(LedgerRefusal::AccountFull);
        }
        None
    }

    fn start(&mut self, now: LogTime, op: &LedgerOp, intent: &Intent) -> LedgerReply {
        self.change(op, |record, _| {
            record.start(intent.attempt, &intent.sidecar, now);
            LedgerReply::Started
        })
    }

    pub(super) fn end(
        &mut self,
        op: &LedgerOp,
        attempt: AttemptId,
        outcome: &Outcome,
    ) -> LedgerReply {
        let limits = self.limits;
        self.change(op, |record, answer_bytes| match &record.state {
            // The outcome was proposed twice, or a settlement came first: the first answer stands,
            // so that every caller gets the same one.
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
                let left = limits.answer_bytes_per_account.saturating_sub(answer_bytes);
                record.end(attempt, outcome.clone().within(&limits, left));
                LedgerReply::Recorded
            }
        })
    }

    pub(super) fn close(&mut self, op: &LedgerOp, close: &Close) -> LedgerReply {
        self.change(op, |record, _| {
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
            let is_its_process = match &close.by {
                Disowned::BySidecar(by) => by == sidecar,
                Disowned::ByEntry(by) => *by == attempt.entry,
            };
            if !is_its_process {
                return LedgerReply::Refused(LedgerRefusal::NotItsProcess);
            }
            record.close(close.attempt);
            LedgerReply::Closed
        })
    }

    /// Changes the record of a key and keeps the account's usage in step. `f` also gets the bytes of
    /// answers that the account has recorded.
    fn change(
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

/// The answer to an intent for a key that has a record; `None` when the attempt may start.
fn known(record: &BookingRecord, intent: &Intent, max_attempts: u32) -> Option<LedgerReply> {
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
            // The same intent proposed twice is answered alike; its entry dispatches it once.
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
        // A late copy of the closed attempt's intent: its sidecar has promised never to dispatch it.
        BookingState::Idle if record.closed.contains(&intent.attempt) => {
            Some(LedgerReply::Refused(LedgerRefusal::AttemptClosed))
        }
        BookingState::Idle if record.closed.len() >= max_attempts as usize => {
            Some(LedgerReply::Refused(LedgerRefusal::TooManyAttempts))
        }
        BookingState::Idle => None,
    }
}
