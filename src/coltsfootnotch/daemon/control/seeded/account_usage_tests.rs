//! Sums of what accounts asked for and got.

use std::time::Duration;

use coltsfootnotch_wire::AccountDemand;
use googletest::prelude::*;

use super::AccountUsage;

fn used(account: &str, requested: u64, admitted: u64) -> AccountDemand {
    AccountDemand {
        account: account.to_owned(),
        requested,
        admitted,
    }
}

/// Guards against an account that gets less than others and that no line names.
#[gtest]
fn accounts_that_got_less_than_they_asked_for_are_named_with_their_sums() {
    let at = Duration::from_millis;
    let mut usage = AccountUsage::default();
    usage.take_limited(at(0));
    let period = [used("a", 400, 100), used("b", 900, 300), used("c", 50, 50)];
    usage.record(period.iter());
    usage.record([used("a", 100, 0)].iter());
    expect_that!(usage.take_limited(at(900)), is_empty());
    let expected = [used("b", 900, 300), used("a", 500, 100)];
    expect_that!(usage.take_limited(at(1_000)), container_eq(expected));
    expect_that!(usage.take_limited(at(2_000)), is_empty());
}
