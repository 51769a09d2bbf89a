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
    notices.expire(s(3.9), |_, _| false);
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

/// Guards against a late announcement that brings a leaving upstream back.
#[googletest::test]
fn a_leaving_upstream_gets_no_requests_as_long_as_it_may_be_announced() {
    let id: Arc<str> = "spec-1".into();
    let mut notices = UpstreamNotices::default();
    expect_that!(notices.mark_leaving(s(1.0), &id, BORN), eq(true));
    expect_that!(notices.mark_leaving(s(2.0), &id, BORN), eq(false));
    notices.expire(s(100.0), |_, born_ms| born_ms == BORN);
    expect_that!(notices.accepts(s(100.0), &id, BORN), eq(false), "announced");
    notices.expire(s(61.9), |_, _| false);
    expect_that!(notices.accepts(s(61.9), &id, BORN), eq(false), "just lost");
    notices.expire(s(62.0), |_, _| false);
    expect_that!(notices.accepts(s(62.0), &id, BORN), eq(true), "forgotten");
}

/// An upstream that restarts under the same identity is not leaving.
#[googletest::test]
fn a_later_run_is_not_leaving() {
    let id: Arc<str> = "spec-1".into();
    let mut notices = UpstreamNotices::default();
    notices.mark_leaving(s(1.0), &id, BORN);
    expect_that!(notices.accepts(s(2.0), &id, BORN + 1), eq(true));
    expect_that!(notices.mark_leaving(s(2.0), &id, BORN + 1), eq(true));
    expect_that!(notices.mark_leaving(s(2.1), &id, BORN), eq(false), "late");
    expect_that!(notices.accepts(s(2.2), &id, BORN + 1), eq(false));
}
