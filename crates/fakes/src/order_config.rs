//! How a stand-in order service is made, and what it counts.

use std::time::Duration;

use crate::announcer::AnnounceConfig;
use crate::order_book::OrderStore;

/// How a stand-in order service is made.
#[derive(Debug, Clone)]
pub struct OrderConfig {
    /// Name of the upstream, unique in the fleet.
    pub name: String,
    /// Service that it belongs to.
    pub pool: String,
    /// Calls worked on at a time; further calls wait inside.
    pub slots: u32,
    /// Time that a call takes.
    pub delay: Duration,
    /// Probability that a booking is made and the connection then drops without an answer.
    pub lose_answer: f64,
    /// Probability that a call is refused with 500 before anything is booked.
    pub fail_before: f64,
    /// Probability that a booking is made and then answered with 500.
    pub fail_after: f64,
    /// Where bookings are kept; replicas of one service share a store.
    pub store: OrderStore,
    /// Seed of the faults.
    pub seed: u64,
    /// Where the service announces itself, if it does.
    pub announce: Option<AnnounceConfig>,
}

impl OrderConfig {
    /// A service without faults: 8 calls at a time, 2 ms each.
    #[must_use]
    pub fn new(name: impl Into<String>, pool: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            pool: pool.into(),
            slots: 8,
            delay: Duration::from_millis(2),
            lose_answer: 0.0,
            fail_before: 0.0,
            fail_after: 0.0,
            store: OrderStore::default(),
            seed: 1,
            announce: None,
        }
    }
}

/// What a stand-in order service has done since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OrderStats {
    /// Calls worked on at a time.
    pub slots: u32,
    /// Calls in work now.
    pub running: u32,
    /// Calls that wait inside now.
    pub waiting: u32,
    /// Slot time in use, summed over the slots.
    pub busy: Duration,
    /// Time since the service started.
    pub up: Duration,
    /// Calls of any kind.
    pub calls: u64,
    /// Bookings made.
    pub booked: u64,
    /// Answers lost after a booking.
    pub answers_lost: u64,
    /// Calls answered with 500.
    pub failed: u64,
}
