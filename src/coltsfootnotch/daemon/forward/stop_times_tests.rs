use std::time::{Duration, Instant};

use googletest::prelude::*;
use tokio::sync::watch;
use tokio::time::timeout;

use super::{STOP_LISTENING_AFTER, StopTimes, too_late};

const TIME_LEFT: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(50);

/// Guards against requests that are refused while their callers have no other host, and against those that
/// are passed on although the stop may cut them off.
#[gtest]
fn a_late_request_is_passed_on_only_if_it_ends_in_time() {
    let now = Instant::now();
    let stop = StopTimes::new(now, TIME_LEFT);
    let (in_time, late) = (now + TIME_LEFT, now + TIME_LEFT + Duration::from_millis(1));
    expect_true!(stop.allows(now, late));
    let closing = now + STOP_LISTENING_AFTER;
    expect_true!(stop.allows(closing, in_time));
    expect_false!(stop.allows(closing, late));
}

/// Guards against a body that is read for longer though its request will be refused.
#[tokio::test]
async fn a_request_that_would_end_late_is_given_up_as_callers_have_other_hosts() {
    let now = Instant::now();
    let (closing, end) = (now + SHORT, now + SHORT * 2);
    let (_tx, notice) = watch::channel(Some(StopTimes { closing, end }));
    too_late(notice.clone(), end + SHORT).await;
    assert_that!(Instant::now(), ge(closing));
    let in_time = timeout(SHORT * 4, too_late(notice, end)).await;
    assert_that!(in_time, err(anything()), "it may still be passed on");
    let (_tx, notice) = watch::channel(None);
    let without_stop = timeout(SHORT, too_late(notice, now)).await;
    assert_that!(without_stop, err(anything()));
}
