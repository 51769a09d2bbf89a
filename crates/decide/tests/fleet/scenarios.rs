//! What callers get under load, in virtual time: each scenario keeps a snapshot of it.

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
        cut: Duration::ZERO,
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
    // A chain keeps 500 requests waiting; four bistros send one now and then. Each bistro's request
    // is next as soon as a slot is free, since the chain is always further ahead.
    let mut sources = vec![flooding("chain", 500)];
    sources.extend(["bistro-1", "bistro-2", "bistro-3", "bistro-4"].map(|n| trickling(n, 0.5)));
    let mut fleet = Fleet::new(options(), sources);
    fleet.assert_bound();
    fleet.run(10 * MINUTE, &mut rng());
    insta::assert_snapshot!(all_rows(&fleet));
}

#[gtest]
fn the_policies_compared_in_a_flood() {
    // The same flood under the three policies. First come first served makes bistros wait behind the
    // chain; per-host fairness serves them well here, where every account reaches every host.
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
    // `wide` reaches all six hosts, `narrow` only one. Per-host fairness halves that one host and
    // gives `wide` all others; over the fleet `narrow` gets the whole of its host.
    let mut text = String::new();
    for policy in [ChoicePolicy::Fair, ChoicePolicy::PerHost] {
        let narrow = Source {
            reaches: Some(vec![0]),
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
fn long_work_among_short() {
    // One account sends requests forty times as long as another's. Both are served the same in
    // tokens, so the short one finishes forty times as many.
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
    // All is quiet but for one account; then four accounts send at once. None of them is owed
    // anything for the time before.
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
    // One of six upstreams runs at a fifth of the speed. Its slots stay in use, nobody waits for
    // them in particular, and the accounts stay level.
    let sources = ["a", "b", "c"].map(|n| flooding(n, 20));
    let mut fleet = Fleet::new(options(), sources.into());
    fleet.sidecars[0].speed = 1;
    fleet.assert_bound();
    fleet.run(10 * MINUTE, &mut rng());
    insta::assert_snapshot!(all_rows(&fleet));
}

#[gtest]
fn a_partition_of_an_hour_and_the_rejoin() {
    // Half the hosts are cut off for an hour. `both` is served on both sides, `left` only on one, so
    // at the rejoin `both` is an hour of service ahead. It waits for a bounded time, not an hour;
    // `left` and `left-2` stay level with each other.
    let near = Some(vec![0, 1, 2]);
    let left = Source {
        reaches: near.clone(),
        ..flooding("left", 20)
    };
    let left_2 = Source {
        reaches: near,
        ..flooding("left-2", 20)
    };
    let mut fleet = Fleet::new(options(), vec![flooding("both", 40), left, left_2]);
    let mut rng = rng();
    fleet.run(MINUTE, &mut rng);
    fleet.sidecars[3..]
        .iter_mut()
        .for_each(|s| s.linked = false);
    fleet.run(HOUR, &mut rng);
    fleet.sidecars.iter_mut().for_each(|s| s.linked = true);
    fleet.sources.iter_mut().for_each(|s| {
        s.reaches = None;
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
    // Every half minute a sidecar restarts and knows nothing of who received what. It asks the relay
    // and goes on from there; nobody gains or loses more than the bound.
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
