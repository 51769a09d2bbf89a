//! What one account costs the ledger.

use crate::{BookingRecord, LedgerLimits};

/// Records, bytes and used-up keys of one account. Derived from the records, so a restored snapshot
/// counts them anew.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Records that have not expired.
    pub records: u32,
    /// Those of them whose keys are plain and will need a tombstone.
    pub plain_records: u32,
    /// Records with an open attempt.
    pub open: u32,
    /// Bytes of recorded answers.
    pub answer_bytes: u32,
    /// Plain keys that are refused after their records have expired.
    pub tombstones: u32,
}

impl Usage {
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

    /// Whether one more key can be remembered, and forgotten later without being run again.
    pub(crate) fn has_tombstone_room(&self, limits: &LedgerLimits) -> bool {
        self.tombstones + self.plain_records < limits.tombstones_per_account
    }
}
