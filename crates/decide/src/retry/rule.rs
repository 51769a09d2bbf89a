//! The conditions for another attempt.

use std::time::Duration;

use coltsfootnotch_types::UpstreamName;
use derive_more::{Display, Error};

use super::RetryBudget;

/// Attempts of one request, the first included. Two failures on different upstreams point at the
/// request or at the whole pool, and neither is mended by a fourth.
const MAX_ATTEMPTS: usize = 3;

/// A request of which an attempt has just failed.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Whether the work may be repeated.
    pub repeatable: bool,
    /// Whether anything of an answer has been sent to the caller.
    pub answer_begun: bool,
    /// Upstreams on which it has failed; the next attempt avoids them.
    pub failed_on: &'a [UpstreamName],
    /// The latest start that is of use to the caller.
    pub deadline: Option<Duration>,
}

/// Why there is no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum NoRetry {
    /// The work may not be repeated.
    #[display("the work may not be repeated")]
    NotRepeatable,
    /// The caller has part of an answer.
    #[display("the answer had begun")]
    AnswerBegun,
    /// All attempts are used up.
    #[display("all attempts have failed")]
    AttemptsUsed,
    /// The deadline has passed.
    #[display("the deadline has passed")]
    DeadlinePassed,
    /// Too much is being retried.
    #[display("the retry budget is used up")]
    BudgetUsed,
}

/// Whether another attempt is made; takes it from the budget if so.
///
/// # Errors
/// Returns the first reason against it.
pub fn may_retry(
    attempt: &Attempt<'_>,
    budget: &mut RetryBudget,
    now: Duration,
) -> Result<(), NoRetry> {
    if !attempt.repeatable {
        return Err(NoRetry::NotRepeatable);
    }
    if attempt.answer_begun {
        return Err(NoRetry::AnswerBegun);
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
