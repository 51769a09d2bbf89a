//! Refusals per client account whose own lines are held back.

use googletest::prelude::*;

use super::{MAX_COUNTED, RefusedAccounts};

/// Guards against refusals in a flood that can't be attributed to an account.
#[gtest]
fn refusals_are_summed_by_account_and_reason() {
    let refused = RefusedAccounts::default();
    for _ in 0..3 {
        refused.record(Some(&"flood".into()), "account over its share");
    }
    refused.record(Some(&"small".into()), "all upstreams full");
    refused.record(None, "all upstreams full");
    let counts: Vec<_> = refused.take();
    let counts: Vec<_> = counts
        .iter()
        .map(|c| (&*c.account, c.reason.as_str(), c.refused))
        .collect();
    expect_that!(
        counts,
        elements_are![
            eq(&("-", "all upstreams full", 1)),
            eq(&("flood", "account over its share", 3)),
            eq(&("small", "all upstreams full", 1)),
        ]
    );
    expect_that!(refused.take(), is_empty());
}

/// Guards against lines without bound when thousands of accounts are refused.
#[gtest]
fn the_number_of_sums_is_bounded() {
    let refused = RefusedAccounts::default();
    for n in 0..1_000 {
        refused.record(Some(&format!("account-{n}").into()), "all upstreams full");
    }
    let counts = refused.take();
    expect_that!(counts.len(), le(MAX_COUNTED + 1));
    expect_that!(counts.iter().map(|c| c.refused).sum::<u64>(), eq(1_000));
}
