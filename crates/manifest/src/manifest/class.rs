//! Classes of accounts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One class of accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Time a request has from arrival to its last byte, in milliseconds.
    pub deadline_ms: u64,
}

impl Class {
    /// The time a request has from arrival to its last byte.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
