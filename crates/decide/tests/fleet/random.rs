//! Property test of the fairness bound, and that no slot is idle while requests wait.
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

const OUTAGE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
enum Event {
    /// A sidecar restarts without state.
    Restart(usize),
    /// An account stops or resumes sending.
    Toggle(usize),
    /// A sidecar loses its relay connection for [`OUTAGE`].
    Disconnect(usize),
    Nothing,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        any::<usize>().prop_map(Event::Restart),
        any::<usize>().prop_map(Event::Toggle),
        any::<usize>().prop_map(Event::Disconnect),
        Just(Event::Nothing),
    ]
}

prop_compose! {
    fn source()(
        flood in 0usize..30,
        rate in 0.0..2.0f64,
        weight in 1u32..6,
        min_cost in 1u64..200,
        cost_range in 0u64..200,
    ) -> (usize, f64, u32, u64, u64) {
        (flood, rate, weight, min_cost, min_cost + cost_range)
    }
}

fn build(sidecars: usize, slots: usize, loads: &[(usize, f64, u32, u64, u64)]) -> Fleet {
    let sources = loads.iter().enumerate().map(|(i, load)| {
        let (flood, rate, weight, min_cost, max_cost) = *load;
        Source {
            flood,
            rate,
            weight: Weight::new(weight).expect("a valid weight"),
            cost: (min_cost, max_cost),
            ..Source::new(&format!("account-{i}"))
        }
    });
    let options = FleetOptions {
        policy: ChoicePolicy::Fair,
        sidecars,
        slots,
        largest: 400,
        max_outage: OUTAGE,
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

    /// Two accounts that both wait stay within the fairness bound while accounts stop and resume
    /// and sidecars restart and lose their connection.
    #[test]
    fn the_fairness_bound_holds(
        seed in any::<u64>(),
        sidecars in 1usize..8,
        slots in 1usize..6,
        loads in proptest::collection::vec(source(), 2..7),
        events in proptest::collection::vec((1u64..20, event()), 1..30),
    ) {
        let mut fleet = build(sidecars, slots, &loads);
        let mut rng = StdRng::seed_from_u64(seed);
        fleet.assert_bound();
        for (pause, event) in events {
            match event {
                Event::Restart(i) => fleet.restart(i % sidecars),
                Event::Toggle(i) => {
                    let source = &mut fleet.sources[i % loads.len()];
                    source.active = !source.active;
                }
                Event::Disconnect(i) => {
                    fleet.sidecars[i % sidecars].connected = false;
                    fleet.run(OUTAGE, &mut rng);
                    fleet.sidecars[i % sidecars].connected = true;
                }
                Event::Nothing => {}
            }
            fleet.run(Duration::from_secs(pause), &mut rng);
        }
    }
}
