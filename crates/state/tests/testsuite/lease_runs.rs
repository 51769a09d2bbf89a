//! Leases under drifting clocks, changing leaders and lost messages.

use std::time::Duration;

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{DriftBound, FencingNumber, Guard, LeaseHolder, LeaseReply};
use googletest::prelude::*;
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof, proptest};

use crate::lease_world::{HOLDERS, Step, World, grant};
use crate::support::{Log, randomised};

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (1u64..500).prop_map(|millis| Step::Pass { millis }),
        8 => (0..HOLDERS, 1_000u64..3_000).prop_map(|(holder, ttl)| Step::Acquire { holder, ttl }),
        4 => (0..HOLDERS, 1_000u64..6_000).prop_map(|(holder, ttl)| Step::Ask { holder, ttl }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(at, again)| Step::Arrive { at, again }),
        4 => prop::bool::weighted(0.1).prop_map(|lose| Step::Commit { lose }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(at, again)| Step::Reply { at, again }),
        1 => (0usize..3, any::<bool>()).prop_map(|(leader, keep)| Step::Elect { leader, keep }),
        4 => (0..HOLDERS).prop_map(|holder| Step::Order { holder }),
        1 => (0..HOLDERS).prop_map(|holder| Step::Release { holder }),
    ];
    prop::collection::vec(step, 1..160)
}

proptest! {
    #![proptest_config(randomised(1_024, 0x1ea5e))]

    #[test]
    fn randomised_leases_have_one_holder_at_a_time(
        rates in prop_oneof![
            Just([50_000i64, -50_000, 0]),
            Just([-50_000, 50_000, 50_000]),
            Just([0, 0, 0]),
        ],
        steps in steps(),
    ) {
        let mut world = World::new(rates);
        for step in steps {
            world.step(step);
            world.check();
        }
    }
}

#[gtest]
fn a_new_holder_waits_for_the_orders_of_one_that_was_lost() {
    // A holder is cut off and never gives its lease back. Another asks until the lease has expired.
    // It may order an engine that refuses old numbers at once, and one that ignores them only when
    // an order that was sent at the last moment has surely ended. The reply that said so was lost.
    let sec = Duration::from_secs;
    let mut log = Log::default();
    log.apply(grant(0, sec(10)));
    log.at = LogTime(10_000);
    let held = log.apply(grant(1, sec(10)));
    expect_that!(
        held,
        matches_pattern!(Reply::Lease(matches_pattern!(LeaseReply::Held { .. })))
    );
    log.at = LogTime(10_001);
    log.apply(grant(1, sec(10)));
    let Reply::Lease(reply) = log.apply(grant(1, sec(10))) else {
        panic!("a lease is answered by a lease");
    };
    let mut holder = LeaseHolder::new(DriftBound::DEFAULT);
    holder.on_reply(sec(50), sec(51), &reply);
    expect_that!(holder.number(sec(51)), some(eq(FencingNumber(3))));
    let wait = Guard::Wait {
        order_timeout: sec(2),
    };
    expect_that!(holder.may_order(sec(51), Guard::Numbers), eq(true));
    expect_that!(holder.may_order(sec(53), wait), eq(false));
    expect_that!(holder.may_order(sec(54), wait), eq(true));
    expect_that!(
        holder.may_order(sec(58), wait),
        eq(false),
        "it would end too late"
    );
}
