//! Requests of many entries to an upstream that warms up.

use std::time::Duration;

use coltsfootnotch_forward::load::{WarmUp, warm_up_interval};
use coltsfootnotch_forward::place::distance;
use coltsfootnotch_forward::registry::{Announcement, RegistryUpdate, Stage, UpstreamRegistry};
use googletest::prelude::*;

/// Requests per second that the upstream takes while it is cold.
const STATED_PER_S: f64 = 9.1;
/// Requests in one second that it bears: half as many again as stated, and a few more.
const TOLERATED_IN_A_SECOND: f64 = STATED_PER_S * 1.5 + 5.0;
const WARM_UP: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Times at which entries that always have a request for the upstream send it one, in milliseconds
/// since its announcement, which reaches them up to 200 ms late.
fn sent_by_eager_entries(entries: u32, run: u64) -> Vec<u64> {
    let interval = warm_up_interval(STATED_PER_S, entries);
    let mut sent = Vec::new();
    for entry in 0..u64::from(entries) {
        let mut warm_up = WarmUp::default();
        let heard_ms = (distance(entry, "delay") * 200.0) as u64;
        let phase = distance(entry * 1_000 + run, "upstream");
        warm_up.announce(at(heard_ms), WARM_UP, phase);
        for ms in heard_ms..WARM_UP.as_millis() as u64 {
            if warm_up.admits(at(ms), interval) {
                warm_up.on_sent(at(ms));
                sent.push(ms);
            }
        }
    }
    sent.sort_unstable();
    sent
}

fn most_in_a_second(sent: &[u64]) -> usize {
    let counts = sent.iter().map(|from| {
        let in_second = sent.iter().filter(|ms| (*from..from + 1_000).contains(ms));
        in_second.count()
    });
    counts.max().unwrap_or(0)
}

/// A cold upstream has the shortest queue, so all entries prefer it: each sends it a few requests
/// and together they exceed what it takes.
#[googletest::test]
fn many_entries_together_keep_to_the_rate_of_a_cold_upstream() {
    for entries in [1, 3, 9, 46, 70, 200] {
        for run in 0..200 {
            let sent = sent_by_eager_entries(entries, run);
            let most = most_in_a_second(&sent);
            expect_that!(most as f64, le(TOLERATED_IN_A_SECOND), "{entries} entries");
        }
    }
}

/// A bound of nothing would leave the upstream unused until it is warm.
#[googletest::test]
fn a_cold_upstream_is_used() {
    for entries in [1, 3, 9, 46, 70, 200] {
        let mean = (0..200).map(|run| sent_by_eager_entries(entries, run).len());
        let mean = mean.sum::<usize>() as f64 / 200.0 / WARM_UP.as_secs_f64();
        expect_that!(mean, ge(STATED_PER_S * 0.4), "{entries} entries");
    }
}

/// A warm-up announced again while the upstream is cold extends it and grants no further request.
#[googletest::test]
fn a_repeated_announcement_grants_no_request() {
    let interval = Some(at(1_000));
    let mut warm_up = WarmUp::default();
    warm_up.announce(at(0), WARM_UP, 0.0);
    warm_up.on_sent(at(0));
    warm_up.announce(at(500), WARM_UP, 0.0);
    expect_that!(warm_up.admits(at(600), interval), eq(false));
    expect_that!(warm_up.admits(at(1_000), interval), eq(true));
    warm_up.on_sent(at(1_000));
    expect_that!(
        warm_up.admits(at(3_400), interval),
        eq(true),
        "a turn later"
    );
    warm_up.on_sent(at(3_400));
    expect_that!(warm_up.admits(at(3_499), interval), eq(false), "still cold");
    expect_that!(warm_up.admits(at(3_500), interval), eq(true), "warm");
}

/// An upstream that is cold again without a restart is announced to entries; one that merely gets
/// warmer is not.
#[googletest::test]
fn an_upstream_that_turns_cold_again_is_a_change() {
    let announcement = |sequence, warming| Announcement {
        id: "spec-1".into(),
        born_ms: 5,
        sequence,
        service: "spec".into(),
        version: "v1".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "colombo".into(),
        slots: 64,
        stage: Stage::Ready,
        warming,
    };
    let mut registry = UpstreamRegistry::default();
    registry.apply(at(0), announcement(1, at(3_000)));
    let warmer = registry.apply(at(1_200), announcement(2, at(1_800)));
    expect_that!(warmer, eq(RegistryUpdate::Refreshed));
    registry.apply(at(3_600), announcement(3, at(0)));
    let cold = registry.apply(at(4_800), announcement(4, at(2_000)));
    expect_that!(cold, eq(RegistryUpdate::Changed));
}

/// Guards against a stated rate whose interval is no duration, or none that a clock can be added to: the first counted
/// as no limit, the second ended the process.
#[googletest::test]
fn any_stated_rate_has_an_interval() {
    let now = Duration::from_secs(1);
    for entries in [1, 300, u32::MAX] {
        for per_s in [1e-300, 1e-12, 4e-10, 1e-9, 1.0, 1e300] {
            let interval = warm_up_interval(per_s, entries);
            expect_that!(interval, some(anything()), "{per_s} for {entries} entries");
            let mut warm_up = WarmUp::default();
            warm_up.announce(now, Duration::from_secs(3_000), 1.0);
            let _is_due = warm_up.admits(now, interval);
            warm_up.on_sent(now);
            let is_due = f64::from(entries) / per_s <= 1_000.0;
            let is_admitted = warm_up.admits(now + Duration::from_secs(2_999), interval);
            expect_that!(is_admitted, eq(is_due), "{per_s} for {entries} entries");
        }
    }
}
