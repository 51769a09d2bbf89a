//! Usage of the ledger by account.

use crate::{BookingRecord, LedgerLimits};

/// Usage of the ledger by one account. It is recomputed from the records when a snapshot is
/// restored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountUsage {
    /// Records that have not expired.
    pub records: u32,
    /// Records with plain keys, each of which will leave a tombstone.
    pub plain_records: u32,
    /// Records with an open attempt.
    pub open: u32,
    /// Bytes of recorded answers.
    pub answer_bytes: u32,
    /// Tombstones of expired plain keys.
    pub tombstones: u32,
}

impl AccountUsage {
    pub(crate) fn add(&mut self, record: &BookingRecord) {
        self.records += 1;
        self.plain_records += u32::from(record.issued.is_none());
        self.open += u32::from(record.open_attempt().is_some());
        self.answer_bytes += record.answer_bytes();
    }

    pub(crate) fn remove(&mut self, record: &BookingRecord) {
        self.records -= 1;
        self.plain_records -= u32::from(record.issued.is_none());
        self.open -= u32::from(record.open_attempt().is_some());
        self.answer_bytes -= record.answer_bytes();
    }

    /// Whether a tombstone can be kept for another plain key.
    pub(crate) fn has_tombstone_capacity(&self, limits: &LedgerLimits) -> bool {
        self.tombstones + self.plain_records < limits.tombstones_per_account
    }
}
