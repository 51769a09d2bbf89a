//! Service and waiting times of accounts under load, as snapshots.

use std::fmt::Write;
use std::time::Duration;

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_types::Weight;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::harness::{Fleet, FleetOptions, Source};
use crate::report::table;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);

fn options() -> FleetOptions {
    FleetOptions {
        policy: ChoicePolicy::Fair,
        sidecars: 6,
        slots: 4,
        largest: 400,
        max_outage: Duration::ZERO,
    }
}

fn flooding(name: &str, flood: usize) -> Source {
    Source {
        flood,
        ..Source::new(name)
    }
}

fn trickling(name: &str, rate: f64) -> Source {
    Source {
        rate,
        ..Source::new(name)
    }
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(4)
}

fn all_rows(fleet: &Fleet) -> String {
    let mut text = table(fleet.sources.iter().map(|s| &s.row));
    let (gap, bound) = (fleet.gap(), fleet.bound.horizon().0 / 4);
    let utilisation = fleet.utilisation();
    write!(text, "gap {gap} of {bound}, utilisation {utilisation}/1000")
        .expect("writing to a string succeeds");
    text
}

#[gtest]
fn one_account_floods() {
    // `chain` keeps 500 requests waiting; the bistros, which send rarely, must not wait behind
    // them.
    let mut sources = vec![flooding("chain", 500)];
    sources.extend(["bistro-1", "bistro-2", "bistro-3", "bistro-4"].map(|n| trickling(n, 0.5)));
    let mut fleet = Fleet::new(options(), sources);
    fleet.assert_bound();
    fleet.run(10 * MINUTE, &mut rng());
    insta::assert_snapshot!(all_rows(&fleet));
}

#[gtest]
fn the_policies_compared_in_a_flood() {
    // Under `Fifo` the bistro waits behind the flood. `PerHost` is as good as `Fair` here, since
    // every account reaches every host.
    let mut text = String::new();
    for policy in [
        ChoicePolicy::Fair,
        ChoicePolicy::Fifo,
        ChoicePolicy::PerHost,
    ] {
        let sources = vec![
            flooding("chain", 500),
            flooding("group", 40),
            trickling("bistro", 0.5),
        ];
        let mut fleet = Fleet::new(
            FleetOptions {
                policy,
                ..options()
            },
            sources,
        );
        fleet.run(10 * MINUTE, &mut rng());
        writeln!(text, "{policy:?}\n{}\n", all_rows(&fleet)).expect("writing succeeds");
    }
    insta::assert_snapshot!(text);
}

#[gtest]
fn accounts_spread_unevenly_over_hosts() {
    // `wide` reaches all six hosts, `narrow` only one. `narrow` gets half of that host under
    // `PerHost` and all of it under `Fair`.
    let mut text = String::new();
    for policy in [ChoicePolicy::Fair, ChoicePolicy::PerHost] {
        let narrow = Source {
            can_reach: Some(vec![0]),
            ..flooding("narrow", 20)
        };
        let sources = vec![flooding("wide", 100), narrow];
        let mut fleet = Fleet::new(
            FleetOptions {
                policy,
                ..options()
            },
            sources,
        );
        fleet.run(10 * MINUTE, &mut rng());
        writeln!(text, "{policy:?}\n{}\n", all_rows(&fleet)).expect("writing succeeds");
    }
    insta::assert_snapshot!(text);
}

#[gtest]
fn a_few_accounts_have_most_of_the_load_by_weight() {
    let heavy = Source {
        weight: Weight::new(4).expect("a valid weight"),
        ..flooding("w4", 50)
    };
    let sources = vec![
        heavy,
        flooding("w1-a", 50),
        flooding("w1-b", 50),
        trickling("w1-c", 0.3),
    ];
    let mut fleet = Fleet::new(options(), sources);
    fleet.assert_bound();
    fleet.run(10 * MINUTE, &mut rng());
    insta::assert_snapshot!(all_rows(&fleet));
}

#[gtest]
fn long_requests_among_short_ones() {
    // Requests of `long` cost forty times as much as those of `short`; both get the same tokens.
    let long = Source {
        cost: (400, 400),
        ..flooding("long", 20)
    };
    let short = Source {
        cost: (10, 10),
        ..flooding("short", 20)
    };
    let mut fleet = Fleet::new(options(), vec![long, short]);
    fleet.assert_bound();
    fleet.run(10 * MINUTE, &mut rng());
    insta::assert_snapshot!(all_rows(&fleet));
}

#[gtest]
fn a_burst() {
    // After 10 minutes of one active account, four others start to send and get no credit for their
    // idle time.
    let mut sources = vec![flooding("steady", 30)];
    sources.extend(["b-1", "b-2", "b-3", "b-4"].map(|n| flooding(n, 60)));
    sources[1..].iter_mut().for_each(|s| s.active = false);
    let mut fleet = Fleet::new(options(), sources);
    let mut rng = rng();
    fleet.assert_bound();
    fleet.run(10 * MINUTE, &mut rng);
    fleet.sources.iter_mut().for_each(|s| s.active = true);
    let before = fleet.row("steady").served;
    fleet.run(MINUTE, &mut rng);
    let during = fleet.row("steady").served - before;
    expect_that!(fleet.row("b-1").served.abs_diff(during), le(1_000));
    insta::assert_snapshot!(all_rows(&fleet));
}

#[gtest]
fn a_slow_upstream() {
    // One of six upstreams runs at a fifth of the speed; the accounts still get equal service.
    let sources = ["a", "b", "c"].map(|n| flooding(n, 20));
    let mut fleet = Fleet::new(options(), sources.into());
    fleet.sidecars[0].speed = 1;
    fleet.assert_bound();
    fleet.run(10 * MINUTE, &mut rng());
    insta::assert_snapshot!(all_rows(&fleet));
}

#[gtest]
fn a_partition_of_an_hour_and_the_rejoin() {
    // Half the hosts are disconnected for an hour. `both` is served on both sides and ends up an
    // hour of service ahead, for which it must not be starved; `left` and `left-2` stay level.
    let near = Some(vec![0, 1, 2]);
    let left = Source {
        can_reach: near.clone(),
        ..flooding("left", 20)
    };
    let left_2 = Source {
        can_reach: near,
        ..flooding("left-2", 20)
    };
    let mut fleet = Fleet::new(options(), vec![flooding("both", 40), left, left_2]);
    let mut rng = rng();
    fleet.run(MINUTE, &mut rng);
    fleet.sidecars[3..]
        .iter_mut()
        .for_each(|s| s.connected = false);
    fleet.run(HOUR, &mut rng);
    fleet.sidecars.iter_mut().for_each(|s| s.connected = true);
    fleet.sources.iter_mut().for_each(|s| {
        s.can_reach = None;
        s.row.waits.clear();
        s.row.served = 0;
        s.row.done = 0;
    });
    fleet.meter = coltsfootnotch_decide::fair::FairnessMeter::new();
    fleet.run(20 * MINUTE, &mut rng);
    expect_that!(fleet.gap(), le(fleet.bound.horizon().0));
    insta::assert_snapshot!(all_rows(&fleet));
}

#[gtest]
fn restarts_with_no_state() {
    // A sidecar restarts without state every half minute; the gap stays within the bound.
    let mut sources = vec![
        flooding("old", 40),
        flooding("new", 40),
        trickling("small", 0.3),
    ];
    sources[1].active = false;
    let mut fleet = Fleet::new(options(), sources);
    let mut rng = rng();
    fleet.run(5 * MINUTE, &mut rng);
    fleet.sources[1].active = true;
    fleet.run(MINUTE, &mut rng);
    fleet.assert_bound();
    for i in 0..20 {
        fleet.restart(i % 6);
        fleet.run(MINUTE / 2, &mut rng);
    }
    insta::assert_snapshot!(all_rows(&fleet));
}
