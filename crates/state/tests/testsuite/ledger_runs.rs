//! Randomised simulation of entries, sidecars and the ledger.
//!
//! Proposals and `Start` messages are lost, duplicated, delayed and reordered; entries and sidecars
//! restart without state; the ledger restarts from its snapshot; records expire, and the retention
//! changes. No key may run more than once.

use proptest::prelude::*;

use crate::ledger_simulation::{Simulation, Step};
use crate::support::randomised;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0usize..2, any::<usize>(), 0usize..2)
            .prop_map(|(entry, key, sidecar)| Step::Call { entry, key, sidecar }),
        8 => (any::<usize>(), prop::bool::weighted(0.2), prop::bool::weighted(0.2))
            .prop_map(|(at, duplicate, lose_reply)| Step::Commit { at, duplicate, lose_reply }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(at, duplicate)| Step::DeliverStart { at, duplicate }),
        1 => (0usize..2).prop_map(|entry| Step::CloseByEntry { entry }),
        2 => any::<usize>().prop_map(|at| Step::CloseBySidecar { at }),
        1 => any::<usize>().prop_map(|at| Step::Reread { at }),
        1 => (0usize..2).prop_map(|entry| Step::CrashEntry { entry }),
        1 => (0usize..2).prop_map(|sidecar| Step::CrashSidecar { sidecar }),
        1 => (1u64..40).prop_map(|hours| Step::Advance { hours }),
        1 => (24u32..96).prop_map(|hours| Step::SetRetention { hours }),
        1 => any::<bool>().prop_map(|dated| Step::NewKey { dated }),
        1 => Just(Step::RestartLedger),
    ];
    prop::collection::vec(step, 1..160)
}

proptest! {
    #![proptest_config(randomised(512, 0x1ed6e5))]

    #[test]
    fn randomised_calls_run_at_most_once(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
            simulation.check();
        }
    }
}
