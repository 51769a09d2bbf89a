//! Retries of failed attempts.
//!
//! A failed attempt is retried only if the request is repeatable, no part of an answer has been
//! sent to the caller, attempts and time are left, and the retry budget is not used up. This keeps
//! a call from taking effect twice, a caller from receiving part of an answer twice, and retries
//! from multiplying the load during an outage ([`RetryBudget`]). A request that is not repeatable
//! is never retried, even if it seems not to have run.

mod budget;
mod rule;

pub use budget::RetryBudget;
pub use rule::{FailedAttempt, NoRetry, may_retry};
