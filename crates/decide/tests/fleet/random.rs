//! Random fleets with the invariants asserted: the fairness bound, and no idle slot while work waits.
//!
//! A longer run:
//! `PROPTEST_CASES=2000 cargo test --release -p coltsfootnotch-decide --test fleet random`.

use std::time::Duration;

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_types::Weight;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::harness::{Fleet, FleetOptions, Source};

const CUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
enum Event {
    /// A sidecar's process is lost and starts again with no state.
    Restart(usize),
    /// An account stops sending, or starts again.
    Toggle(usize),
    /// A sidecar is cut off from the relay for a while.
    Cut(usize),
    Nothing,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        any::<usize>().prop_map(Event::Restart),
        any::<usize>().prop_map(Event::Toggle),
        any::<usize>().prop_map(Event::Cut),
        Just(Event::Nothing),
    ]
}

prop_compose! {
    fn source()(
        flood in 0usize..30,
        rate in 0.0..2.0f64,
        weight in 1u32..6,
        least in 1u64..200,
        spread in 0u64..200,
    ) -> (usize, f64, u32, u64, u64) {
        (flood, rate, weight, least, least + spread)
    }
}

fn build(sidecars: usize, slots: usize, parts: &[(usize, f64, u32, u64, u64)]) -> Fleet {
    let sources = parts.iter().enumerate().map(|(i, part)| {
        let (flood, rate, weight, least, most) = *part;
        Source {
            flood,
            rate,
            weight: Weight::new(weight).expect("a valid weight"),
            cost: (least, most),
            ..Source::new(&format!("account-{i}"))
        }
    });
    let options = FleetOptions {
        policy: ChoicePolicy::Fair,
        sidecars,
        slots,
        largest: 400,
        cut: CUT,
    };
    Fleet::new(options, sources.collect())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|c| c.parse().ok()).unwrap_or(48),
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Accounts come and go, sidecars restart and are cut off in any order and at once. Whatever
    /// happens, two accounts that both wait drift no further apart than the bound.
    #[test]
    fn the_fairness_bound_holds(
        seed in any::<u64>(),
        sidecars in 1usize..8,
        slots in 1usize..6,
        parts in proptest::collection::vec(source(), 2..7),
        events in proptest::collection::vec((1u64..20, event()), 1..30),
    ) {
        let mut fleet = build(sidecars, slots, &parts);
        let mut rng = StdRng::seed_from_u64(seed);
        fleet.assert_bound();
        for (pause, event) in events {
            match event {
                Event::Restart(i) => fleet.restart(i % sidecars),
                Event::Toggle(i) => {
                    let source = &mut fleet.sources[i % parts.len()];
                    source.active = !source.active;
                }
                Event::Cut(i) => {
                    fleet.sidecars[i % sidecars].linked = false;
                    fleet.run(CUT, &mut rng);
                    fleet.sidecars[i % sidecars].linked = true;
                }
                Event::Nothing => {}
            }
            fleet.run(Duration::from_secs(pause), &mut rng);
        }
    }
}
