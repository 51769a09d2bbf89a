//! Floods that reach every entry.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::place::Prompt;
use googletest::prelude::*;
use rand::Rng;
use rand::rngs::StdRng;

use super::fleet::{Fleet, Load, Outcomes, Setup, TARGET};

/// A prompt of one of three kinds, without shared segments.
fn prompt(rng: &mut StdRng, _account: usize) -> Prompt {
    Prompt {
        tokens: [543, 1_800, 1_800, 2_890, 2_890][rng.random_range(0..5)],
        output_tokens: 0,
        shared: Vec::new(),
    }
}

fn fleet(entries: usize, engines: usize) -> Fleet {
    Fleet::new(Setup {
        entries,
        engines,
        tokens_per_ms: 112.0,
        stated_share: 1.0,
        memory_tokens: 694_599,
        copy_rate: None,
        target: TARGET,
        period_ms: 100,
        prompt,
    })
}

/// Mean service units of a request.
const MEAN_UNITS: f64 = 1_984.0;

/// `floods` accounts that send `times` their even share of the engines' capacity, and `small` ones
/// that send a tenth of theirs.
fn loads(fleet: &Fleet, floods: usize, times: f64, small: usize) -> Vec<Load> {
    let even_share = fleet.capacity() / (floods + small) as f64 / MEAN_UNITS;
    let load = |name: String, share: f64| Load {
        account: Arc::from(name),
        per_s: even_share * share,
    };
    let flooding = (0..floods).map(|n| load(format!("flood-{n}"), times));
    let small = (0..small).map(|n| load(format!("small-{n}"), 0.1));
    flooding.chain(small).collect()
}

fn refused_share(outcomes: &[Outcomes]) -> f64 {
    let refused: u32 = outcomes.iter().map(|g| g.refused).sum();
    let requests: u32 = outcomes.iter().map(|g| g.requests).sum();
    f64::from(refused) / f64::from(requests)
}

fn late_share(outcomes: &[Outcomes]) -> f64 {
    let late: u32 = outcomes.iter().map(|g| g.late).sum();
    let served: u32 = outcomes.iter().map(|g| g.requests - g.refused).sum();
    f64::from(late) / f64::from(served)
}

/// Least and most admitted service units of an account.
fn least_and_most_units(outcomes: &[Outcomes]) -> (u64, u64) {
    let units = || outcomes.iter().map(|g| g.units);
    (units().min().unwrap_or(0), units().max().unwrap_or(0))
}

/// 13 of 30 accounts send eight times their even share through 32 entries with reports 100 to 200
/// ms old. With a bound on waits alone, all entries overfill the engines that look idle.
#[googletest::test]
fn entries_do_not_overfill_an_idle_engine_together() {
    let mut fleet = fleet(32, 40);
    let loads = loads(&fleet, 13, 8.0, 17);
    fleet.simulate(&loads, Duration::from_secs(3));
    let (outcomes, idle) = fleet.simulate(&loads, Duration::from_secs(10));
    let (floods, small) = outcomes.split_at(13);
    expect_that!(refused_share(small), lt(0.02));
    expect_that!(late_share(&outcomes), lt(0.05));
    expect_that!(idle, lt(0.08));
    let (least, most) = least_and_most_units(floods);
    expect_that!(least * 10, gt(most * 8), "equal floods get nearly the same");
}

/// The same with 13 entries and 9 engines, where a single request weighs more.
#[googletest::test]
fn a_small_fleet_stays_busy_and_in_time() {
    let mut fleet = fleet(13, 9);
    let loads = loads(&fleet, 7, 6.0, 9);
    fleet.simulate(&loads, Duration::from_secs(3));
    let (outcomes, idle) = fleet.simulate(&loads, Duration::from_secs(10));
    let (floods, small) = outcomes.split_at(7);
    expect_that!(refused_share(small), lt(0.02));
    expect_that!(late_share(&outcomes), lt(0.08));
    expect_that!(idle, lt(0.12));
    let (least, most) = least_and_most_units(floods);
    expect_that!(least * 10, gt(most * 8));
}

/// After a full outage nothing was served lately; shares derived from served units alone admit
/// nothing.
#[googletest::test]
fn an_idle_fleet_is_filled_within_a_second() {
    let mut fleet = fleet(32, 40);
    let loads = loads(&fleet, 13, 8.0, 17);
    fleet.simulate(&loads, Duration::from_millis(500));
    let (_, idle) = fleet.simulate(&loads, Duration::from_millis(1_500));
    expect_that!(idle, lt(0.15));
}
