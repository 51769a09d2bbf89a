//! Conditions for another attempt.

use std::time::Duration;

use coltsfootnotch_types::UpstreamName;
use derive_more::{Display, Error};

use super::RetryBudget;

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: usize = 3;

/// A request after a failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt<'a> {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether part of an answer has been sent to the caller.
    pub answer_started: bool,
    /// Upstreams of its failed attempts, to be avoided by the next one.
    pub failed_on: &'a [UpstreamName],
    /// The latest start that is of use to the caller.
    pub deadline: Option<Duration>,
}

/// Why there is no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum NoRetry {
    /// The request may not run more than once.
    #[display("the request is not repeatable")]
    NotRepeatable,
    /// Part of an answer has been sent to the caller.
    #[display("part of the answer has been sent")]
    AnswerStarted,
    /// The maximum number of attempts has been made.
    #[display("all attempts have failed")]
    AttemptsUsed,
    /// The deadline has passed.
    #[display("the deadline has passed")]
    DeadlinePassed,
    /// The retry budget is used up.
    #[display("the retry budget is used up")]
    BudgetUsed,
}

/// Whether another attempt may be made; takes it from the budget if so.
///
/// # Errors
/// Returns the first condition that is not met.
pub fn may_retry(
    attempt: &FailedAttempt<'_>,
    budget: &mut RetryBudget,
    now: Duration,
) -> Result<(), NoRetry> {
    if !attempt.repeatable {
        return Err(NoRetry::NotRepeatable);
    }
    if attempt.answer_started {
        return Err(NoRetry::AnswerStarted);
    }
    if attempt.failed_on.len() >= MAX_ATTEMPTS {
        return Err(NoRetry::AttemptsUsed);
    }
    if attempt.deadline.is_some_and(|deadline| now >= deadline) {
        return Err(NoRetry::DeadlinePassed);
    }
    if !budget.try_take(now) {
        return Err(NoRetry::BudgetUsed);
    }
    Ok(())
}
