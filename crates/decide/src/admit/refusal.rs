//! Why a request was turned away.

use std::time::Duration;

use derive_more::{Display, Error};

/// Shortest time to come back after: the coarsest `Retry-After` header counts whole seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time to come back after. Load changes within a minute, so a longer promise is a guess.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Why a request was not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// The account holds its share of the queue.
    #[display("the account's queue is full")]
    AccountQueueFull,
    /// The request would not start by its deadline.
    #[display("the request would not start by its deadline")]
    Deadline,
    /// The host has no room for another connection.
    #[display("the host has no connection to spare")]
    Connections,
    /// The host has no memory for another request.
    #[display("the host has no memory to spare")]
    Memory,
}

/// A request that was turned away before anything of it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{reason}, try again in {} s", retry_after.as_secs())]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the same request would be let in, by the rates measured now.
    pub retry_after: Duration,
}

impl Refusal {
    /// A refusal whose time to come back is rounded up to whole seconds within a minute.
    #[must_use]
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        let rounded = Duration::from_secs_f64(retry_after.as_secs_f64().ceil());
        Self {
            reason,
            retry_after: rounded.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}
