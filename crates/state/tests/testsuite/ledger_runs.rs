//! Randomised runs of entries, sidecars and the ledger, with crashes at each step.
//!
//! Proposals and `Start` messages are lost, duplicated, delayed and reordered; entries and sidecars
//! are replaced by runs without memory; the ledger restarts from its snapshot; time passes beyond
//! the retention, which changes as well. The world counts how often each key really ran.

use proptest::prelude::*;

use crate::ledger_world::{Step, World};
use crate::support::randomised;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0usize..2, any::<usize>(), 0usize..2)
            .prop_map(|(entry, key, sidecar)| Step::Call { entry, key, sidecar }),
        8 => (any::<usize>(), prop::bool::weighted(0.2), prop::bool::weighted(0.2))
            .prop_map(|(at, again, lose_reply)| Step::Commit { at, again, lose_reply }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(at, again)| Step::Deliver { at, again }),
        1 => (0usize..2).prop_map(|entry| Step::GiveUp { entry }),
        2 => any::<usize>().prop_map(|at| Step::Disown { at }),
        1 => any::<usize>().prop_map(|at| Step::Reread { at }),
        1 => (0usize..2).prop_map(|entry| Step::CrashEntry { entry }),
        1 => (0usize..2).prop_map(|sidecar| Step::CrashSidecar { sidecar }),
        1 => (1u64..40).prop_map(|hours| Step::Pass { hours }),
        1 => (24u32..96).prop_map(|hours| Step::Retention { hours }),
        1 => any::<bool>().prop_map(|dated| Step::NewKey { dated }),
        1 => Just(Step::RestartLedger),
    ];
    prop::collection::vec(step, 1..160)
}

proptest! {
    #![proptest_config(randomised(512, 0x1ed6e5))]

    #[test]
    fn randomised_calls_run_at_most_once(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            world.check();
        }
    }
}
