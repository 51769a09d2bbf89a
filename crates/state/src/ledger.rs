//! The ledger of calls that may not be repeated.
//!
//! A key goes from unknown to open (its intent is committed before the call leaves), to done (its
//! outcome is committed before the caller is answered) and, after the retention, to expired. An open
//! attempt that was disowned goes back to idle, and only then may another start. What expires is
//! never forgotten in a way that would let it run again: a plain key leaves a tombstone of 64 bits,
//! and a dated one is recognised by its own issue time against [`Ledger::floor`].

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_types::AccountName;

use crate::{
    BookingRecord, BookingState, KeyDigest, LedgerLimits, LedgerOp, LedgerRefusal, LedgerReply,
    LogTime, Record, Usage,
};

mod write;

/// Records that one command expires at most, so that no command holds the log up: the rest follow
/// with the next.
const MAX_EXPIRED_PER_COMMAND: u32 = 4_096;

/// What the ledger has answered since this process started; not part of the replicated state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerCounters {
    /// Intents that may be dispatched.
    pub started: u64,
    /// Intents answered from the record.
    pub already_done: u64,
    /// Intents that met an open attempt.
    pub in_doubt: u64,
    /// Keys used with another body.
    pub mismatches: u64,
    /// Keys older than the retention.
    pub too_old: u64,
    /// Intents refused for want of room.
    pub full: u64,
    /// Answers recorded, settlements included.
    pub recorded: u64,
    /// Attempts closed.
    pub closed: u64,
    /// Records expired.
    pub expired: u64,
    /// Writes that break the protocol.
    pub violations: u64,
}

/// The keys of one account.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct AccountLedger {
    pub(crate) records: BTreeMap<KeyDigest, BookingRecord>,
    pub(crate) tombstones: BTreeSet<u64>,
    pub(crate) usage: Usage,
}

/// The keys of every account.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    pub(crate) limits: LedgerLimits,
    pub(crate) floor: Option<LogTime>,
    pub(crate) accounts: BTreeMap<AccountName, AccountLedger>,
    due: BTreeSet<(LogTime, AccountName, KeyDigest)>,
    counters: LedgerCounters,
}

impl Ledger {
    /// The limits in force.
    #[must_use]
    pub fn limits(&self) -> LedgerLimits {
        self.limits
    }

    /// Dated keys that were made at this time or earlier are too old; `None` while the log is
    /// younger than the retention.
    #[must_use]
    pub fn floor(&self) -> Option<LogTime> {
        self.floor
    }

    /// What was answered since this process started.
    #[must_use]
    pub fn counters(&self) -> LedgerCounters {
        self.counters
    }

    /// The record of `key`, for a read that needs no log.
    #[must_use]
    pub fn get(&self, account: &AccountName, key: KeyDigest) -> Option<&BookingRecord> {
        self.accounts.get(account)?.records.get(&key)
    }

    /// What `account` costs.
    #[must_use]
    pub fn usage(&self, account: &AccountName) -> Usage {
        self.accounts
            .get(account)
            .map_or_else(Usage::default, |a| a.usage)
    }

    /// The accounts with records or tombstones, and what they cost.
    pub fn usages(&self) -> impl Iterator<Item = (&AccountName, Usage)> {
        self.accounts.iter().map(|(name, a)| (name, a.usage))
    }

    /// Moves the floor with log time; called before each command is applied.
    pub(crate) fn advance(&mut self, now: LogTime) {
        let floor = now.before(self.limits.retention());
        if floor > LogTime::default() {
            self.floor = self.floor.max(Some(floor));
        }
    }

    pub(crate) fn set_limits(&mut self, limits: LedgerLimits) {
        self.limits = limits;
    }

    pub(crate) fn apply(&mut self, now: LogTime, op: &LedgerOp) -> LedgerReply {
        let reply = match &op.write {
            Record::Intent(intent) => self.intend(now, op, intent),
            Record::Outcome(attempt, outcome) => self.end(op, *attempt, outcome),
            Record::Close(close) => self.close(op, close),
            Record::Settle(settle) => match self.end(op, settle.attempt, &settle.outcome) {
                LedgerReply::Recorded => LedgerReply::Settled,
                other => other,
            },
        };
        self.count(&reply);
        reply
    }

    /// Expires records that are due, oldest first; returns how many.
    pub(crate) fn expire(&mut self, now: LogTime) -> u32 {
        let mut expired = 0;
        while expired < MAX_EXPIRED_PER_COMMAND {
            match self.due.first() {
                Some((due, ..)) if *due <= now => {}
                _ => break,
            }
            let Some((_, account, key)) = self.due.pop_first() else {
                break;
            };
            self.forget(&account, key);
            expired += 1;
        }
        self.counters.expired += u64::from(expired);
        expired
    }

    fn forget(&mut self, account: &AccountName, key: KeyDigest) {
        let Some(a) = self.accounts.get_mut(account) else {
            return;
        };
        let Some(record) = a.records.remove(&key) else {
            return;
        };
        a.usage.remove(&record);
        match record.issued {
            // With a retention that was raised meanwhile, the floor may still lie before the issue
            // time of this key. Dropping the record alone would let the key run again; moving the
            // floor refuses it, and with it a few keys that are as old and were never used.
            Some(issued) => self.floor = self.floor.max(Some(issued)),
            None => {
                a.tombstones.insert(key.tombstone());
                a.usage.tombstones = u32::try_from(a.tombstones.len()).unwrap_or(u32::MAX);
            }
        }
    }

    /// A ledger without records, to be filled from a snapshot.
    pub(crate) fn restored(limits: LedgerLimits, floor: Option<LogTime>) -> Self {
        Self {
            limits,
            floor,
            ..Self::default()
        }
    }

    /// Adds a record read from a snapshot; returns `false` if it is there already.
    pub(crate) fn restore_record(
        &mut self,
        account: &AccountName,
        key: KeyDigest,
        record: BookingRecord,
    ) -> bool {
        let due = record.due;
        let a = self.accounts.entry(account.clone()).or_default();
        a.usage.add(&record);
        let is_new = a.records.insert(key, record).is_none();
        self.due.insert((due, account.clone(), key)) && is_new
    }

    /// Adds the tombstones read from a snapshot.
    pub(crate) fn restore_tombstones(&mut self, account: &AccountName, tombstones: Vec<u64>) {
        let a = self.accounts.entry(account.clone()).or_default();
        a.tombstones = tombstones.into_iter().collect();
        a.usage.tombstones = u32::try_from(a.tombstones.len()).unwrap_or(u32::MAX);
    }

    fn count(&mut self, reply: &LedgerReply) {
        let c = &mut self.counters;
        let counter = match reply {
            LedgerReply::Started => &mut c.started,
            LedgerReply::AlreadyDone(_) => &mut c.already_done,
            LedgerReply::InDoubt { .. } => &mut c.in_doubt,
            LedgerReply::BodyMismatch => &mut c.mismatches,
            LedgerReply::TooOld => &mut c.too_old,
            LedgerReply::Recorded | LedgerReply::Settled => &mut c.recorded,
            LedgerReply::Closed => &mut c.closed,
            LedgerReply::Refused(LedgerRefusal::AttemptClosed | LedgerRefusal::NotItsProcess) => {
                &mut c.violations
            }
            LedgerReply::Refused(_) => &mut c.full,
        };
        *counter += 1;
    }
}
