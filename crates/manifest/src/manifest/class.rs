//! Classes of accounts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One class of accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Longest time from arrival to the last byte of the answer, in milliseconds.
    pub deadline_ms: u64,
}

impl Class {
    /// Longest time from arrival to the last byte of the answer.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
