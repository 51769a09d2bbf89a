//! Which hosts send callers elsewhere.

use std::time::Duration;

use coltsfootnotch_forward::overload::Overload;
use googletest::prelude::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn after(waits_ms: &[u64], times: f64) -> bool {
    let mut overload = Overload::default();
    for (n, waited) in waits_ms.iter().enumerate() {
        overload.observe(at(100 * n as u64), at(*waited), times);
    }
    overload.is_overloaded(at(100 * waits_ms.len() as u64))
}

/// Pattern: one caller sends hundreds of requests a second to one host of ten.
#[googletest::test]
fn a_busy_host_with_more_than_its_part_sends_callers_elsewhere() {
    expect_that!(after(&[250; 10], 12.0), eq(true));
}

/// Pattern: every host is as busy as every other. If all sent callers away, they would come to none.
#[googletest::test]
fn a_fleet_that_is_short_everywhere_stays_ready() {
    expect_that!(after(&[250; 10], 1.3), eq(false));
}

/// Pattern: a caller sends three times what a host can read, and the balancer needs two seconds to notice.
/// Within one the host refuses so much at once that the rest waits no longer; when the caller has left, it
/// reads everything again.
#[googletest::test]
fn a_host_refuses_unread_what_it_cannot_read_in_time() {
    let mut overload = Overload::default();
    // Of three times what can be read in a period, what is not refused waits.
    let wait = |overload: &Overload, sent: f64| {
        let read = sent * (1.0 - overload.refused_part());
        if read > 1.0 { at(200) } else { at(5) }
    };
    for n in 0..10 {
        let waited = wait(&overload, 3.0);
        overload.observe(at(100 * n), waited, 12.0);
    }
    expect_that!(wait(&overload, 3.0), eq(at(5)));
    for n in 10..30 {
        let waited = wait(&overload, 0.2);
        overload.observe(at(100 * n), waited, 0.2);
    }
    expect_that!(overload.refused_part(), eq(0.0));
}

/// Pattern: bursts of a tenth of a second, with time between them.
#[googletest::test]
fn single_bursts_do_not_count() {
    expect_that!(
        after(&[250, 250, 2, 250, 250, 2, 250, 250, 2], 12.0),
        eq(false)
    );
}
