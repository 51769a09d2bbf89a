//! How much of one account waits in one pool.

use std::time::Duration;

/// Requests of one account that wait in one pool, over all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Waiting {
    /// How many wait.
    pub count: u32,
    /// When the oldest of them arrived, in this process's time.
    pub oldest: Duration,
}

impl Waiting {
    /// `count` requests, the oldest of which arrived at `oldest`.
    #[must_use]
    pub fn new(count: u32, oldest: Duration) -> Self {
        Self { count, oldest }
    }
}
