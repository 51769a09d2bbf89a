//! The load generator against stand-ins that it calls directly, and through a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch::ops::fleet::Fleet;
use coltsfootnotch::ops::load::{
    FleetShape, FleetSize, HopOptions, LoadAccount, LoadOptions, Policy, Scenario, Target,
    embedded_target, fleet_plan, html_report, measure_hop, plan_callers, run,
};
use coltsfootnotch_fakes::{EngineConfig, EngineHandle, OrderConfig, OrderHandle};
use coltsfootnotch_manifest::TokenWeights;
use coltsfootnotch_types::{AccountName, Weight};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn account(name: &str, weight: u32, large: bool) -> LoadAccount {
    LoadAccount {
        name: AccountName::new(name).expect("a name"),
        key: format!("key-of-{name}"),
        weight: Weight::new(weight).expect("a weight"),
        large,
    }
}

fn target<'a>(
    entry: SocketAddr,
    engines: &'a [EngineHandle],
    services: &'a [OrderHandle],
) -> Target<'a> {
    Target {
        entries: vec![entry],
        accounts: vec![account("chain", 4, true), account("bistro", 1, false)],
        model: "menu-writer".to_owned(),
        token_weights: TokenWeights {
            input: 1,
            output: 4,
        },
        booking_prefix: Some(String::new()),
        engines,
        services,
        remote_slots: 0,
        policy: "none".to_owned(),
        hosts: 1,
        staleness: Duration::ZERO,
        control_bytes: Box::new(|| 0),
    }
}

fn opts(scenario: Scenario) -> LoadOptions {
    LoadOptions {
        scenario,
        length: Duration::from_millis(1500),
        seed: 7,
    }
}

fn engine() -> EngineHandle {
    EngineHandle::start(EngineConfig::new("menu-1", "menu-writer")).expect("starts")
}

#[gtest]
fn answers_of_an_engine_are_complete_and_correct() {
    let engines = [engine()];
    let target = target(engines[0].address(), &engines, &[]);
    let run = run(&target, &opts(Scenario::Saturation), |_| {}).expect("runs");
    expect_that!(run.summary.is_correct(), eq(true));
    expect_that!(run.summary.whole_answers, ge(1));
    expect_that!(run.summary.whole_answers, eq(run.summary.requests));
    let html = html_report(&run).expect("plots");
    expect_that!(html.matches("<svg").count(), eq(3));
}

// Without the fleet the order service books resent orders again; guards against a check that never
// detects doubled bookings.
#[gtest]
fn doubled_bookings_of_a_service_without_the_fleet_are_counted() {
    let services = [OrderHandle::start(OrderConfig::new("desk-1", "desk")).expect("starts")];
    let mut target = target(services[0].address(), &[], &services);
    target.accounts.remove(0);
    let run = run(&target, &opts(Scenario::Bookings), |_| {}).expect("runs");
    expect_that!(run.summary.doubled_bookings, ge(1));
    expect_that!(run.summary.lost_bookings, eq(0));
    expect_that!(run.summary.is_correct(), eq(false));
}

// A crashing engine truncates streams without an error event; these answers must be counted as
// incomplete.
#[gtest]
fn incomplete_answers_of_a_crashing_engine_are_counted() {
    let engines = [engine()];
    let target = target(engines[0].address(), &engines, &[]);
    let run = run(&target, &opts(Scenario::CrashingRequest), |_| {}).expect("runs");
    expect_that!(run.summary.crashes, ge(1));
    expect_that!(
        run.summary.incomplete_answers + run.summary.no_answer,
        ge(1)
    );
}

#[gtest]
fn the_hop_measurement_succeeds_when_both_paths_call_the_engine() {
    let engines = [engine()];
    let target = target(engines[0].address(), &engines, &[]);
    let opts = HopOptions {
        pairs: 3,
        phase: Duration::from_millis(200),
        callers: 2,
        hold_time: Duration::from_millis(200),
        streams: 2,
    };
    let overhead = measure_hop(&target, &opts, |_| {}).expect("runs");
    expect_that!(overhead.fleet.failures + overhead.direct.failures, eq(0));
    expect_that!(overhead.fleet.first_token_ms.count, eq(3));
}

#[gtest]
fn the_flood_scenario_assigns_most_callers_to_one_account() {
    let accounts = [account("chain", 4, true), account("bistro", 1, false)];
    let shape = FleetShape {
        entries: 2,
        slots: 16,
    };
    let plans = plan_callers(Scenario::Flood, &accounts, shape);
    let count = |account| plans.iter().filter(|plan| plan.account == account).count();
    expect_that!([count(0), count(1)], eq([48, 8]));
}

// Order services lose answers and fail before and after booking, and callers retry with the same
// key. The fleet must not book a key twice, lose an acknowledged key or run a request refused as
// not run.
#[gtest]
fn bookings_through_the_fleet_are_neither_doubled_nor_lost() {
    let size = FleetSize { hosts: 9, slots: 4 };
    let plan = fleet_plan(Scenario::Bookings, Policy::Fair, size, None);
    let fleet = Fleet::start(&plan, &mut StdRng::seed_from_u64(7)).expect("starts");
    let target = embedded_target(&fleet, Policy::Fair);
    let run = run(&target, &opts(Scenario::Bookings), |_| {}).expect("runs");
    drop(target);
    fleet.stop();
    expect_that!(run.summary.whole_answers, ge(1));
    expect_that!(run.summary.doubled_bookings, eq(0));
    expect_that!(run.summary.lost_bookings, eq(0));
    expect_that!(run.summary.refused_but_run, eq(0));
    expect_that!(run.summary.wrong_answers, eq(0));
    expect_that!(run.summary.incomplete_answers, eq(0));
}
