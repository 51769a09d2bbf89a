//! The ledger of at-most-once calls.
//!
//! The intent of a call is committed before it is dispatched (open), and its outcome before the
//! caller is answered (done). A record expires after the retention. If the open attempt is closed,
//! the key returns to idle, and only then may another attempt start. A key never runs again after
//! its record has expired: a plain key leaves a 64-bit tombstone, and a dated key is refused if its
//! issue time is not after [`Ledger::floor`].

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_types::AccountName;

use crate::{
    AccountUsage, BookingRecord, BookingState, KeyDigest, LedgerLimits, LedgerOp, LedgerRefusal,
    LedgerReply, LedgerWrite, LogTime,
};

mod write;

/// Maximum number of records expired by one command, so that none stalls the log; the rest expire
/// with the next.
const MAX_EXPIRED_PER_COMMAND: u32 = 4_096;

/// Counters of ledger replies since this process started; not part of the replicated state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerCounters {
    /// Intents whose attempt may be dispatched.
    pub started: u64,
    /// Intents answered with a recorded outcome.
    pub already_done: u64,
    /// Intents refused because another attempt is open.
    pub in_doubt: u64,
    /// Keys reused with another body.
    pub mismatches: u64,
    /// Keys older than the retention.
    pub too_old: u64,
    /// Other refused writes, such as those over a limit.
    pub refused: u64,
    /// Outcomes recorded, including those found by reread calls.
    pub recorded: u64,
    /// Attempts closed.
    pub closed: u64,
    /// Records expired.
    pub expired: u64,
    /// Writes that violate the protocol.
    pub violations: u64,
}

/// The keys of one account.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct AccountLedger {
    pub(crate) records: BTreeMap<KeyDigest, BookingRecord>,
    pub(crate) tombstones: BTreeSet<u64>,
    pub(crate) usage: AccountUsage,
}

/// The keys of every account.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    pub(crate) limits: LedgerLimits,
    pub(crate) floor: Option<LogTime>,
    pub(crate) accounts: BTreeMap<AccountName, AccountLedger>,
    by_expiry: BTreeSet<(LogTime, AccountName, KeyDigest)>,
    counters: LedgerCounters,
}

impl Ledger {
    /// The limits in force.
    #[must_use]
    pub fn limits(&self) -> LedgerLimits {
        self.limits
    }

    /// Dated keys issued at this time or earlier are too old; `None` while log time is below the
    /// retention.
    #[must_use]
    pub fn floor(&self) -> Option<LogTime> {
        self.floor
    }

    /// Counters of replies since this process started.
    #[must_use]
    pub fn counters(&self) -> LedgerCounters {
        self.counters
    }

    /// The local record of `key`, read without a log entry.
    #[must_use]
    pub fn get(&self, account: &AccountName, key: KeyDigest) -> Option<&BookingRecord> {
        self.accounts.get(account)?.records.get(&key)
    }

    /// The usage of `account`.
    #[must_use]
    pub fn usage(&self, account: &AccountName) -> AccountUsage {
        self.accounts
            .get(account)
            .map_or_else(AccountUsage::default, |a| a.usage)
    }

    /// The accounts with records or tombstones and their usage.
    pub fn usages(&self) -> impl Iterator<Item = (&AccountName, AccountUsage)> {
        self.accounts.iter().map(|(name, a)| (name, a.usage))
    }

    /// Advances the floor to log time `now`; called before each command is applied.
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
            LedgerWrite::Intent(intent) => self.apply_intent(now, op, intent),
            LedgerWrite::Outcome(attempt, outcome) => self.record_outcome(op, *attempt, outcome),
            LedgerWrite::Close(close) => self.close(op, close),
            LedgerWrite::Resolve(resolve) => {
                match self.record_outcome(op, resolve.attempt, &resolve.outcome) {
                    LedgerReply::Recorded => LedgerReply::Resolved,
                    other => other,
                }
            }
        };
        self.count(&reply);
        reply
    }

    /// Removes records that have expired, oldest first; returns how many.
    pub(crate) fn expire(&mut self, now: LogTime) -> u32 {
        let mut expired = 0;
        while expired < MAX_EXPIRED_PER_COMMAND {
            match self.by_expiry.first() {
                Some((expires_at, ..)) if *expires_at <= now => {}
                _ => break,
            }
            let Some((_, account, key)) = self.by_expiry.pop_first() else {
                break;
            };
            self.expire_record(&account, key);
            expired += 1;
        }
        self.counters.expired += u64::from(expired);
        expired
    }

    fn expire_record(&mut self, account: &AccountName, key: KeyDigest) {
        let Some(a) = self.accounts.get_mut(account) else {
            return;
        };
        let Some(record) = a.records.remove(&key) else {
            return;
        };
        a.usage.remove(&record);
        match record.issued {
            // If the retention was raised meanwhile, the floor may lie before the issue time of
            // this key, and the key could run again. Raising the floor refuses it, along with
            // unused keys issued no later.
            Some(issued) => self.floor = self.floor.max(Some(issued)),
            None => {
                a.tombstones.insert(key.tombstone());
                a.usage.tombstones = u32::try_from(a.tombstones.len()).unwrap_or(u32::MAX);
            }
        }
    }

    /// Creates a ledger without records, to be filled from a snapshot.
    pub(crate) fn restored(limits: LedgerLimits, floor: Option<LogTime>) -> Self {
        Self {
            limits,
            floor,
            ..Self::default()
        }
    }

    /// Adds a record read from a snapshot; returns `false` for a duplicate key.
    pub(crate) fn restore_record(
        &mut self,
        account: &AccountName,
        key: KeyDigest,
        record: BookingRecord,
    ) -> bool {
        let expires_at = record.expires_at;
        let a = self.accounts.entry(account.clone()).or_default();
        a.usage.add(&record);
        let is_new = a.records.insert(key, record).is_none();
        self.by_expiry.insert((expires_at, account.clone(), key)) && is_new
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
            LedgerReply::Recorded | LedgerReply::Resolved => &mut c.recorded,
            LedgerReply::Closed => &mut c.closed,
            LedgerReply::Refused(LedgerRefusal::AttemptClosed | LedgerRefusal::NotAuthorized) => {
                &mut c.violations
            }
            LedgerReply::Refused(_) => &mut c.refused,
        };
        *counter += 1;
    }
}
