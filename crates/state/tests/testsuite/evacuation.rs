//! Orders to evacuate failure domains, resent orders, restarts and earlier snapshots.

use std::collections::BTreeSet;

use crate::support::{Log, randomised};
use coltsfootnotch_state::{
    Command, EvacuationOrder, EvacuationReply, LogTime, Op, Reply, SetEvacuation, StateMachine,
};
use coltsfootnotch_types::DomainName;
use googletest::prelude::*;
use proptest::prelude::*;

/// A snapshot that an earlier program wrote, before there were evacuations.
const SNAPSHOT_V1: &str = "4346737401005243cda70500010344136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a027b7d010344136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a80e90f80208080800280408080100800010662697374726f010bafe22156d2698c143b86040446d3664429aa017def74e53da4db2a0f44934b5edbe53ffbe5a964ac2fd2f57d1046df80a8cc7b0000010101c901010c636f6e74656e742d74797065106170706c69636174696f6e2f6a736f6e00066e6f2e2031370001066f726465727309636f6e74726f6c2d310404914e000000";

/// A snapshot that an earlier program wrote, without the last order for each domain.
const SNAPSHOT_V2: &str = "434673740200cc1ddd5d0600010344136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a027b7d010344136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a80e90f80208080800280408080100800010662697374726f010bafe22156d2698c143b86040446d3664429aa017def74e53da4db2a0f44934b5edbe53ffbe5a964ac2fd2f57d1046df80a8cc7b0000010101c901010c636f6e74656e742d74797065106170706c69636174696f6e2f6a736f6e00066e6f2e2031370001066f726465727309636f6e74726f6c2d310404914e000000060107636f6c6f6d626f";

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("a valid name")
}

fn set(log: &mut Log, name: &str, evacuated: bool) -> EvacuationReply {
    let last = log.machine.applied();
    set_knowing(log, name, evacuated, last)
}

/// An order that a control host received when it had applied the log up to `known`.
fn set_knowing(log: &mut Log, name: &str, evacuated: bool, known: u64) -> EvacuationReply {
    let order = order(name, evacuated);
    match log.apply(Op::Evacuate(EvacuationOrder { order, known })) {
        Reply::Evacuation(reply) => reply,
        other => panic!("unexpected reply to an evacuation: {other:?}"),
    }
}

fn order(name: &str, evacuated: bool) -> SetEvacuation {
    SetEvacuation {
        domain: domain(name),
        evacuated,
    }
}

#[gtest]
fn a_resent_order_is_accepted_again_and_changes_nothing() {
    let mut log = Log::default();
    let first = set(&mut log, "colombo", true);
    expect_that!(first, eq(EvacuationReply::Done { revision: 1 }));
    expect_that!(set(&mut log, "colombo", true), eq(first));
    let ended = EvacuationReply::Done { revision: 3 };
    expect_that!(set(&mut log, "colombo", false), eq(ended));
    expect_that!(set(&mut log, "colombo", false), eq(ended));
    expect_that!(set(&mut log, "galle", false), eq(ended), "it never was");
}

/// Guards against a late order that undoes one which was acknowledged after its caller had given it up.
#[gtest]
fn an_order_is_refused_if_a_later_one_was_not_known_where_it_was_received() {
    let mut log = Log::default();
    let started = EvacuationReply::Done { revision: 1 };
    expect_that!(set(&mut log, "colombo", true), eq(started));
    let resent = set_knowing(&mut log, "colombo", true, 0);
    expect_that!(resent, eq(started), "it changes nothing");
    let late = set_knowing(&mut log, "colombo", false, 1);
    let superseded = EvacuationReply::Superseded { by: 2 };
    expect_that!(late, eq(superseded), "the second order counts as well");
    log.restart();
    let late = set_knowing(&mut log, "colombo", false, 1);
    expect_that!(late, eq(superseded));
    let other = set_knowing(&mut log, "galle", true, 0);
    expect_that!(other, eq(EvacuationReply::Done { revision: 5 }));
    expect_that!(
        set(&mut log, "colombo", false),
        eq(EvacuationReply::Done { revision: 6 })
    );
}

/// Guards against a late order for a domain whose last order is no longer kept.
#[gtest]
fn late_orders_are_refused_for_forgotten_domains_too() {
    let mut log = Log::default();
    set(&mut log, "colombo", false);
    for n in 0..300 {
        set(&mut log, &format!("d{n}"), false);
    }
    let late = set_knowing(&mut log, "colombo", true, 0);
    expect_that!(late, matches_pattern!(EvacuationReply::Superseded { .. }));
    let known = set(&mut log, "colombo", true);
    expect_that!(known, matches_pattern!(EvacuationReply::Done { .. }));
}

/// Guards against orders of an earlier program's log that are applied otherwise than by that program.
#[gtest]
fn an_order_without_a_known_index_is_always_applied() {
    let mut log = Log::default();
    for evacuated in [true, false, true] {
        let reply = log.apply(Op::SetEvacuation(order("colombo", evacuated)));
        expect_that!(
            reply,
            matches_pattern!(Reply::Evacuation(matches_pattern!(
                EvacuationReply::Done { .. }
            )))
        );
    }
    expect_that!(log.machine.evacuations().domains().len(), eq(1));
}

/// Guards against a state that grows with forged names.
#[gtest]
fn the_number_of_evacuated_domains_is_bounded() {
    let mut log = Log::default();
    let replies = (0..300).map(|n| set(&mut log, &format!("d{n}"), true));
    let refused = replies.filter(|r| *r == EvacuationReply::TooMany).count();
    expect_that!(refused, eq(300 - 256));
    let ended = set(&mut log, "d0", false);
    expect_that!(ended, matches_pattern!(EvacuationReply::Done { .. }));
    let started = set(&mut log, "d299", true);
    expect_that!(started, matches_pattern!(EvacuationReply::Done { .. }));
}

/// Guards against a control host that can't start on the snapshot of an earlier program.
#[gtest]
fn a_snapshot_without_evacuations_is_restored() {
    let machine = restored(SNAPSHOT_V1);
    expect_that!(machine.config().number(), eq(3));
    expect_that!(machine.evacuations().domains(), is_empty());
    expect_that!(machine.evacuations().revision(), eq(0));
}

/// Guards against late orders that undo those in the snapshot of an earlier program.
#[gtest]
fn a_snapshot_without_the_last_orders_is_restored() {
    let mut machine = restored(SNAPSHOT_V2);
    let revision = machine.evacuations().revision();
    expect_that!(machine.evacuations().domains().len(), eq(1));
    let late = Op::Evacuate(EvacuationOrder {
        order: order("colombo", false),
        known: revision - 1,
    });
    let command = Command {
        at: LogTime(9),
        op: late,
    };
    let reply = machine.apply(machine.applied() + 1, &command);
    let superseded = EvacuationReply::Superseded { by: revision };
    expect_that!(reply, eq(&Reply::Evacuation(superseded)));
}

fn restored(hex: &str) -> StateMachine {
    let pairs = hex.as_bytes().chunks(2);
    let bytes: Vec<u8> = pairs
        .map(|pair| {
            let digits = std::str::from_utf8(pair).expect("hex digits");
            u8::from_str_radix(digits, 16).expect("hex digits")
        })
        .collect();
    StateMachine::restore(&bytes).expect("a snapshot of an earlier version")
}

proptest! {
    #![proptest_config(randomised(256, 0xe7ac))]

    /// Guards against an acknowledged order that is lost, and against a revision that a host could
    /// take for an older one.
    #[test]
    fn randomised_orders_leave_each_domain_as_its_last_order_says(
        sent in prop::collection::vec((0u8..5, any::<bool>(), prop::bool::weighted(0.2)), 1..80)
    ) {
        let mut log = Log::default();
        let mut expected = BTreeSet::new();
        for (number, evacuated, restarts) in sent {
            let name = format!("d{number}");
            let before = log.machine.evacuations().clone();
            let reply = set(&mut log, &name, evacuated);
            if evacuated {
                expected.insert(domain(&name));
            } else {
                expected.remove(&domain(&name));
            }
            if restarts {
                log.restart();
            }
            let now = log.machine.evacuations();
            prop_assert_eq!(now.domains(), &expected);
            let is_same = now.domains() == before.domains();
            prop_assert_eq!(now.revision() == before.revision(), is_same);
            prop_assert!(now.revision() >= before.revision());
            prop_assert_eq!(reply, EvacuationReply::Done { revision: now.revision() });
        }
    }
}
