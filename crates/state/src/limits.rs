//! How much the ledger keeps, and for how long.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of the ledger. They are part of the replicated state and change only by a command, since
/// members that expire records by different settings would hold different states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLimits {
    /// Seconds for which a key is remembered with its answer, from when it was first seen.
    pub retention_secs: u32,
    /// Records of one account.
    pub records_per_account: u32,
    /// Bytes of recorded answers of one account.
    pub answer_bytes_per_account: u32,
    /// Bytes of one recorded answer; a larger body is recorded by its digest.
    pub answer_bytes_per_record: u32,
    /// Plain keys of one account that are refused for good after their records have expired.
    pub tombstones_per_account: u32,
    /// Attempts of one key, closed ones included.
    pub attempts_per_key: u32,
}

impl LedgerLimits {
    /// 72 hours cover the retries of a long weekend; 4,096 records, 4 MiB and 262,144 keys
    /// (2 MiB) bound what one account can cost every control host; 8 KiB holds an order's answer;
    /// eight attempts mean that seven sidecars gave the call back unrun.
    pub const DEFAULT: Self = Self {
        retention_secs: 72 * 3_600,
        records_per_account: 4_096,
        answer_bytes_per_account: 4 << 20,
        answer_bytes_per_record: 8 << 10,
        tombstones_per_account: 1 << 18,
        attempts_per_key: 8,
    };

    /// For how long a key is remembered with its answer.
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
