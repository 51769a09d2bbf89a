//! Configuration and counters of a fake order service.

use std::time::Duration;

use crate::announcer::AnnounceConfig;
use crate::order_book::OrderStore;

/// Configuration of a fake order service.
#[derive(Debug, Clone)]
pub struct OrderConfig {
    /// Name of the upstream, unique in the fleet.
    pub name: String,
    /// Service that the upstream belongs to.
    pub pool: String,
    /// Maximum number of concurrent calls; further calls wait.
    pub slots: u32,
    /// Duration of a call.
    pub delay: Duration,
    /// Probability that the connection drops without a response after a booking.
    pub lose_answer: f64,
    /// Probability that a call fails with status 500 before a booking.
    pub fail_before: f64,
    /// Probability that a call fails with status 500 after a booking.
    pub fail_after: f64,
    /// How the responses to bookings end.
    pub answer_end: AnswerEnd,
    /// The bookings, shared by the replicas of a service.
    pub store: OrderStore,
    /// Seed for the faults.
    pub seed: u64,
    /// How the service announces itself; `None` for no announcements.
    pub announce: Option<AnnounceConfig>,
}

impl OrderConfig {
    /// A service without faults: 8 concurrent calls, 2 ms each.
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
            answer_end: AnswerEnd::Stated,
            store: OrderStore::default(),
            seed: 1,
            announce: None,
        }
    }
}

/// How the responses of a fake order service end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// After their length.
    Stated,
    /// With their connection, of which nothing else tells the end.
    Connection,
    /// The same after half of their bytes, as in a crash.
    HalfThenConnection,
}

/// Counters of a fake order service since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OrderStats {
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Calls currently in progress.
    pub running: u32,
    /// Calls currently waiting.
    pub waiting: u32,
    /// Time in use, summed over all slots.
    pub busy_time: Duration,
    /// Time since the service started.
    pub uptime: Duration,
    /// Calls of any kind.
    pub calls: u64,
    /// Bookings made.
    pub booked: u64,
    /// Responses lost after a booking.
    pub answers_lost: u64,
    /// Calls that failed with status 500.
    pub failed: u64,
}
