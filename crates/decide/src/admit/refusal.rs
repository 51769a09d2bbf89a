//! Refusals of requests and connections.

use std::time::Duration;

use derive_more::{Display, Error};

/// Lower bound of `retry_after`, since the `Retry-After` header counts whole seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Upper bound of `retry_after`; load changes too fast for longer forecasts.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// The account has reached its bound of the queue.
    #[display("the account's queue is full")]
    AccountQueueFull,
    /// The request would not start by its deadline.
    #[display("the request would not start by its deadline")]
    Deadline,
    /// All connections of the host are in use.
    #[display("the host has no connection to spare")]
    Connections,
    /// The host's memory for new requests is used up.
    #[display("the host has no memory to spare")]
    Memory,
}

/// Refusal of a request or connection, before anything ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{reason}, try again in {} s", retry_after.as_secs())]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Time after which a retry is expected to be accepted at current rates.
    pub retry_after: Duration,
}

impl Refusal {
    /// A refusal with `retry_after` rounded up to whole seconds and limited to 1 to 60 s.
    #[must_use]
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        let rounded = Duration::from_secs_f64(retry_after.as_secs_f64().ceil());
        Self {
            reason,
            retry_after: rounded.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}
