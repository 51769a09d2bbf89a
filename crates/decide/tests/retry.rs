//! Retry budget and conditions.

use std::time::Duration;

use coltsfootnotch_decide::retry::{FailedAttempt, NoRetry, RetryBudget, may_retry};
use coltsfootnotch_types::UpstreamName;
use googletest::prelude::*;

fn attempt(failed_on: &[UpstreamName]) -> FailedAttempt<'_> {
    FailedAttempt {
        repeatable: true,
        answer_started: false,
        failed_on,
        deadline: None,
    }
}

#[gtest]
fn retries_add_a_tenth_to_the_load_in_an_outage() {
    // 1,000 requests succeed, then 1,000 fail; 101 of these are retried.
    let mut budget = RetryBudget::new();
    let now = Duration::from_secs(1);
    for _ in 0..1_000 {
        budget.on_success(now);
    }
    let failed_on = [UpstreamName::new("u1").expect("a valid name")];
    let retry = |_: &i32| may_retry(&attempt(&failed_on), &mut budget, now).is_ok();
    expect_that!((0..1_000).filter(retry).count(), eq(101));
}

#[gtest]
fn requests_that_are_not_repeatable_already_answered_in_part_or_late_are_not_retried() {
    let mut budget = RetryBudget::new();
    let now = Duration::from_secs(10);
    let order = FailedAttempt {
        repeatable: false,
        ..attempt(&[])
    };
    let started = FailedAttempt {
        answer_started: true,
        ..attempt(&[])
    };
    let late = FailedAttempt {
        deadline: Some(now),
        ..attempt(&[])
    };
    expect_that!(
        may_retry(&order, &mut budget, now),
        err(eq(NoRetry::NotRepeatable))
    );
    expect_that!(
        may_retry(&started, &mut budget, now),
        err(eq(NoRetry::AnswerStarted))
    );
    expect_that!(
        may_retry(&late, &mut budget, now),
        err(eq(NoRetry::DeadlinePassed))
    );
    expect_that!(may_retry(&attempt(&[]), &mut budget, now), ok(anything()));
    expect_that!(
        may_retry(&attempt(&[]), &mut budget, now),
        err(eq(NoRetry::BudgetUsed))
    );
}
