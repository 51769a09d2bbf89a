//! What upstreams ask for in their responses.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::upstream_notices::UpstreamNotices;
use googletest::prelude::*;

const BORN: u64 = 7;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a pause that is cut short: an upstream refuses several requests that were in
/// transit, and the last of its responses asks for less than the first.
#[googletest::test]
fn a_shorter_request_does_not_cut_a_longer_one() {
    let id: Arc<str> = "spec-1".into();
    let mut notices = UpstreamNotices::default();
    expect_that!(notices.request_backoff(s(1.0), &id, BORN, s(3.0)), eq(true));
    expect_that!(
        notices.request_backoff(s(1.1), &id, BORN, s(0.5)),
        eq(false)
    );
    notices.expire(s(3.9));
    expect_that!(notices.accepts(s(3.9), &id, BORN), eq(false));
    expect_that!(notices.backoff_end(s(3.9), &id, BORN), some(eq(s(4.0))));
    expect_that!(notices.accepts(s(4.0), &id, BORN), eq(true));
}

/// Guards against a late response of an earlier run that pauses the one after it, and against one
/// that ends the pause of the later run.
#[googletest::test]
fn a_late_response_of_an_earlier_run_changes_nothing() {
    let id: Arc<str> = "spec-1".into();
    let mut notices = UpstreamNotices::default();
    notices.request_backoff(s(1.0), &id, BORN, s(9.0));
    expect_that!(notices.accepts(s(2.0), &id, BORN + 1), eq(true));
    notices.request_backoff(s(2.0), &id, BORN + 1, s(3.0));
    notices.request_backoff(s(2.1), &id, BORN, s(20.0));
    expect_that!(notices.accepts(s(4.9), &id, BORN + 1), eq(false));
    expect_that!(notices.accepts(s(5.0), &id, BORN + 1), eq(true));
}

#[googletest::test]
fn the_longest_time_causes_no_overflow() {
    let id: Arc<str> = "spec-1".into();
    let mut notices = UpstreamNotices::default();
    notices.request_backoff(s(1.0), &id, BORN, Duration::MAX);
    expect_that!(notices.accepts(s(1e9), &id, BORN), eq(false));
}
