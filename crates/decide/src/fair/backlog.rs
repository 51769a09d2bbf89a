//! Backlog of one account in one pool.

use std::time::Duration;

/// Requests of one account that wait in one pool, summed over all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Number of waiting requests.
    pub count: u32,
    /// Arrival of the oldest, as time since the start of the local process.
    pub oldest: Duration,
}

impl Backlog {
    /// `count` requests of which the oldest arrived at `oldest`.
    #[must_use]
    pub fn new(count: u32, oldest: Duration) -> Self {
        Self { count, oldest }
    }
}
