//! Limits and retention of the ledger.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of the ledger. They are part of the replicated state and changed only by a command, so
/// that all members expire the same records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLimits {
    /// Seconds for which a record is kept, from its first intent.
    pub retention_secs: u32,
    /// Maximum records of one account.
    pub records_per_account: u32,
    /// Maximum bytes of recorded answers of one account.
    pub answer_bytes_per_account: u32,
    /// Maximum bytes of one recorded body; a larger one is recorded by its digest.
    pub answer_bytes_per_record: u32,
    /// Maximum tombstones of expired plain keys of one account.
    pub tombstones_per_account: u32,
    /// Maximum attempts of one key, including closed ones.
    pub attempts_per_key: u32,
}

impl LedgerLimits {
    /// The default limits. 72 hours cover retries over a long weekend. 4,096 records, 4 MiB of
    /// answers and 262,144 tombstones (2 MiB) bound the memory of one account on each control host.
    pub const DEFAULT: Self = Self {
        retention_secs: 72 * 3_600,
        records_per_account: 4_096,
        answer_bytes_per_account: 4 << 20,
        answer_bytes_per_record: 8 << 10,
        tombstones_per_account: 1 << 18,
        attempts_per_key: 8,
    };

    /// The time for which a record is kept.
    #[must_use]
    pub fn retention(&self) -> Duration {
        Duration::from_secs(u64::from(self.retention_secs))
    }
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self::DEFAULT
    }
}
