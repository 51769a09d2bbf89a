//! Detection of overloaded hosts.

use std::time::Duration;

use coltsfootnotch_forward::overload::Overload;
use googletest::prelude::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn is_overloaded_after(waits_ms: &[u64], load_ratio: f64) -> bool {
    let mut overload = Overload::default();
    for (n, waited) in waits_ms.iter().enumerate() {
        overload.observe(at(100 * n as u64), at(*waited), load_ratio, false);
    }
    overload.is_overloaded(at(100 * waits_ms.len() as u64))
}

/// One caller sends hundreds of requests per second to one host of ten.
#[googletest::test]
fn a_busy_host_above_its_even_share_is_overloaded() {
    expect_that!(is_overloaded_after(&[250; 10], 12.0), eq(true));
}

/// If every host of a saturated fleet turned callers away, none would serve them.
#[googletest::test]
fn a_fleet_that_is_saturated_everywhere_stays_ready() {
    expect_that!(is_overloaded_after(&[250; 10], 1.3), eq(false));
}

/// A caller sends three times what a host can read, and the balancer needs two seconds to react.
/// Within one second the host refuses enough for short delays; after the caller leaves, it reads
/// everything again.
#[googletest::test]
fn a_host_refuses_what_it_cannot_read_in_time() {
    let mut overload = Overload::default();
    // Requests beyond what the host can read wait, unless they are refused.
    let wait = |overload: &Overload, sent: f64| {
        let read = sent * (1.0 - overload.refused_share());
        if read > 1.0 { at(200) } else { at(5) }
    };
    for n in 0..10 {
        let waited = wait(&overload, 3.0);
        overload.observe(at(100 * n), waited, 12.0, false);
    }
    expect_that!(wait(&overload, 3.0), eq(at(5)));
    for n in 10..30 {
        let waited = wait(&overload, 0.2);
        overload.observe(at(100 * n), waited, 0.2, false);
    }
    expect_that!(overload.refused_share(), eq(0.0));
}

/// Bursts of a tenth of a second with pauses between them.
#[googletest::test]
fn single_bursts_are_not_an_overload() {
    expect_that!(
        is_overloaded_after(&[250, 250, 2, 250, 250, 2, 250, 250, 2], 12.0),
        eq(false)
    );
}

/// One caller opens hundreds of connections to one host, which can relay four times what it can serve.
/// The host stays ready and refuses nothing; after the caller leaves, it serves everything again.
#[googletest::test]
fn a_host_hands_over_what_it_cannot_serve() {
    let mut overload = Overload::default();
    let wait = |overload: &Overload, sent: f64| {
        let handed_over = sent * overload.handover_share();
        let busy = handed_over / 4.0 + (sent - handed_over);
        if busy > 1.0 { at(200) } else { at(5) }
    };
    for n in 0..50 {
        let waited = wait(&overload, 3.0);
        overload.observe(at(100 * n), waited, 12.0, true);
        expect_that!(overload.is_overloaded(at(100 * n)), eq(false));
        expect_that!(overload.refused_share(), eq(0.0));
    }
    expect_that!(overload.handover_share(), gt(0.6));
    for n in 50..200 {
        let waited = wait(&overload, 0.2);
        overload.observe(at(100 * n), waited, 0.2, true);
    }
    expect_that!(overload.handover_share(), eq(0.0));
}

/// A caller sends more than a host can even relay, or all neighbours stop taking connections over: the
/// host sends callers away as if it had no neighbours.
#[googletest::test]
fn a_host_that_cannot_hand_over_enough_is_overloaded() {
    let mut overload = Overload::default();
    for n in 0..10 {
        overload.observe(at(100 * n), at(200), 12.0, true);
    }
    expect_that!(overload.is_overloaded(at(1_000)), eq(true));
    expect_that!(overload.refused_share(), gt(0.0));
    overload.observe(at(1_000), at(5), 12.0, false);
    expect_that!(overload.handover_share(), eq(0.0));
}
