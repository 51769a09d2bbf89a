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

/// Pattern: bursts of a tenth of a second, with time between them.
#[googletest::test]
fn single_bursts_do_not_count() {
    expect_that!(
        after(&[250, 250, 2, 250, 250, 2, 250, 250, 2], 12.0),
        eq(false)
    );
}
