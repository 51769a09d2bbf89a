//! Leases under clock drift, leader changes and lost messages.

use std::time::Duration;

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{DriftBound, FencingMode, FencingNumber, LeaseHolder, LeaseReply};
use googletest::prelude::*;
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof, proptest};

use crate::lease_simulation::{HOLDERS, Simulation, Step, grant};
use crate::support::{Log, randomised};

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (1u64..500).prop_map(|millis| Step::Advance { millis }),
        8 => (0..HOLDERS, 1_000u64..3_000).prop_map(|(holder, ttl)| Step::Acquire { holder, ttl }),
        4 => (0..HOLDERS, 1_000u64..6_000).prop_map(|(holder, ttl)| Step::Request { holder, ttl }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(at, duplicate)| Step::Propose { at, duplicate }),
        4 => prop::bool::weighted(0.1).prop_map(|lose_reply| Step::Commit { lose_reply }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(at, duplicate)| Step::DeliverReply { at, duplicate }),
        1 => (0usize..3, any::<bool>())
            .prop_map(|(leader, keep_proposals)| Step::Elect { leader, keep_proposals }),
        4 => (0..HOLDERS).prop_map(|holder| Step::SendOrder { holder }),
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
        let mut simulation = Simulation::new(rates);
        for step in steps {
            simulation.step(step);
            simulation.check();
        }
    }
}

#[gtest]
fn a_new_holder_waits_for_the_orders_of_a_lost_one() {
    // A partitioned holder never releases its lease, and the first reply to its successor is lost.
    // The successor may send orders at once to an engine that checks numbers. With another engine
    // it waits until orders sent just before the expiry have ended.
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
        panic!("unexpected reply to a lease request");
    };
    let mut holder = LeaseHolder::new(DriftBound::DEFAULT);
    holder.on_reply(sec(50), sec(51), &reply);
    expect_that!(holder.number(sec(51)), some(eq(FencingNumber(3))));
    let wait = FencingMode::Wait {
        order_timeout: sec(2),
    };
    expect_that!(holder.can_order(sec(51), FencingMode::Numbers), eq(true));
    expect_that!(holder.can_order(sec(53), wait), eq(false));
    expect_that!(holder.can_order(sec(54), wait), eq(true));
    expect_that!(
        holder.can_order(sec(58), wait),
        eq(false),
        "the order would end after the lease"
    );
}
