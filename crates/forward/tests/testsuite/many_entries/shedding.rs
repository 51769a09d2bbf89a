//! Engines that refuse all requests for a time and ask for pauses.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::place::Prompt;
use googletest::prelude::*;
use rand::rngs::StdRng;

use super::fleet::{Fleet, Load, Setup, TARGET};

const ENTRIES: u32 = 13;
const ENGINES: usize = 9;
/// Engines that refuse all requests.
const REFUSING: usize = 3;
/// How long they refuse them.
const TIME: Duration = Duration::from_secs(9);
/// The pause that they ask for with each refusal.
const BACKOFF: Duration = Duration::from_secs(3);
/// Service units of a request.
const UNITS: u32 = 1_800;

fn prompt(_rng: &mut StdRng, _account: usize) -> Prompt {
    Prompt {
        tokens: UNITS,
        output_tokens: 0,
        shared: Vec::new(),
    }
}

fn fleet() -> Fleet {
    Fleet::new(Setup {
        entries: ENTRIES as usize,
        engines: ENGINES,
        tokens_per_ms: 36.7,
        stated_share: 1.0,
        memory_tokens: 235_664,
        copy_rate: None,
        target: TARGET,
        period_ms: 100,
        prompt,
    })
}

/// Five accounts that together use `utilization` of all engines.
fn loads(fleet: &Fleet, utilization: f64) -> Vec<Load> {
    let per_s = fleet.capacity() * utilization / f64::from(UNITS);
    let load = |n: u32| Load {
        account: Arc::from(format!("account-{n}")),
        per_s: per_s / 5.0,
    };
    (0..5).map(load).collect()
}

/// Has a third of the engines refuse all requests for [`TIME`]; returns the share of requests refused to callers.
fn shed(fleet: &mut Fleet, loads: &[Load]) -> f64 {
    let warm_up = Duration::from_secs(2);
    fleet.simulate(loads, warm_up);
    for engine in 0..REFUSING {
        fleet.refusals().start(engine, warm_up + TIME, BACKOFF);
    }
    let (outcomes, _) = fleet.simulate(loads, TIME);
    let requests: u32 = outcomes.iter().map(|o| o.requests).sum();
    let refused: u32 = outcomes.iter().map(|o| o.refused).sum();
    f64::from(refused) / f64::from(requests)
}

/// Three of nine engines refuse everything and ask for pauses, at half of the capacity. They look idle, and without
/// a record of what they ask for they get more requests than the others.
#[googletest::test]
fn engines_that_refuse_get_about_one_request_an_entry_and_pause() {
    let mut fleet = fleet();
    let loads = loads(&fleet, 0.5);
    let refused_share = shed(&mut fleet, &loads);
    expect_that!(fleet.refusals().during_pause, eq(0));
    let pauses = (TIME.as_millis() / BACKOFF.as_millis()) as u32;
    let tries = ENTRIES * REFUSING as u32 * pauses;
    expect_that!(fleet.refusals().refused, le(2 * tries), "a few more cross");
    expect_that!(refused_share, lt(0.02), "the others have the capacity");
}

/// The same with entries that send each request up to 1.5 s after its placement: it may have been placed before the
/// engine asked for a pause.
#[googletest::test]
fn requests_that_were_placed_before_a_pause_are_not_sent_in_it() {
    let mut fleet = fleet();
    let loads = loads(&fleet, 0.3);
    fleet.set_send_delay(Duration::from_millis(1_500));
    shed(&mut fleet, &loads);
    expect_that!(fleet.refusals().refused, gt(0));
    expect_that!(fleet.refusals().during_pause, eq(0));
}

/// Engines that take requests again get them again: nothing is left of their pauses.
#[googletest::test]
fn engines_are_used_again_after_their_pauses() {
    let mut fleet = fleet();
    let light = loads(&fleet, 0.5);
    shed(&mut fleet, &light);
    fleet.simulate(&light, BACKOFF);
    let heavy = loads(&fleet, 0.9);
    let (outcomes, idle) = fleet.simulate(&heavy, Duration::from_secs(5));
    let refused: u32 = outcomes.iter().map(|o| o.refused).sum();
    let requests: u32 = outcomes.iter().map(|o| o.requests).sum();
    expect_that!(f64::from(refused), lt(f64::from(requests) * 0.1));
    expect_that!(idle, lt(0.25));
}
