//! Configurations from concurrent operators, resent commands, and damaged snapshots.

use std::collections::BTreeMap;

use crate::support::{Log, randomised};
use coltsfootnotch_state::{ApplyConfig, BodyDigest, ConfigReply, Op, Reply, StateMachine};
use googletest::prelude::*;
use proptest::prelude::*;

fn config(number: u64, body: &str) -> ApplyConfig {
    let body = body.as_bytes().to_vec();
    let digest = BodyDigest::of(&body);
    ApplyConfig {
        number,
        digest,
        body,
    }
}

fn apply(log: &mut Log, req: &ApplyConfig) -> ConfigReply {
    match log.apply(Op::ApplyConfig(req.clone())) {
        Reply::Config(reply) => reply,
        other => panic!("unexpected reply to a configuration: {other:?}"),
    }
}

fn accepted(req: &ApplyConfig) -> ConfigReply {
    ConfigReply::Accepted {
        number: req.number,
        digest: req.digest,
    }
}

#[gtest]
fn of_two_configurations_with_one_number_only_the_first_is_accepted() {
    // Two operators lose their answers and resend, also after later configurations and restarts.
    // Each must get the same reply as the first time.
    let mut log = Log::default();
    let (first, second) = (config(7, "{\"a\":1}"), config(7, "{\"b\":2}"));
    let conflict = ConfigReply::Conflict {
        number: 7,
        accepted: first.digest,
    };
    for round in 0..3 {
        expect_that!(apply(&mut log, &first), eq(&accepted(&first)));
        expect_that!(apply(&mut log, &second), eq(&conflict));
        apply(&mut log, &config(8 + round, "{}"));
        log.restart();
    }
    expect_that!(log.machine.config().number(), eq(10));
}

#[gtest]
fn a_number_below_the_one_in_force_and_a_wrong_digest_are_refused() {
    let mut log = Log::default();
    apply(&mut log, &config(9, "{}"));
    expect_that!(
        apply(&mut log, &config(4, "{}")),
        eq(&ConfigReply::Stale { accepted: 9 })
    );
    let mut damaged = config(10, "{}");
    damaged.body.push(b' ');
    let found = BodyDigest::of(&damaged.body);
    expect_that!(
        apply(&mut log, &damaged),
        eq(&ConfigReply::DigestMismatch { found })
    );
    expect_that!(log.machine.config().number(), eq(9));
}

#[gtest]
fn a_snapshot_with_any_damaged_or_missing_byte_is_refused() {
    let mut log = Log::default();
    apply(&mut log, &config(1, "{\"accounts\":[]}"));
    let bytes = log.machine.snapshot();
    for offset in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[offset] ^= 0x20;
        expect_that!(
            StateMachine::restore(&damaged),
            err(anything()),
            "damaged at byte {offset}"
        );
        expect_that!(
            StateMachine::restore(&bytes[..offset]),
            err(anything()),
            "truncated to {offset} bytes"
        );
    }
}

proptest! {
    #![proptest_config(randomised(256, 0xc0f1))]

    /// Across resends and restarts, each pair of number and body keeps its reply, a stale one is
    /// never accepted later, and the number in force never decreases.
    #[test]
    fn randomised_configurations_are_idempotent_and_numbers_never_decrease(
        sent in prop::collection::vec((1u64..12, 0u8..3, prop::bool::weighted(0.1)), 1..60)
    ) {
        let mut log = Log::default();
        let mut winners: BTreeMap<u64, BodyDigest> = BTreeMap::new();
        let mut highest = 0;
        for (number, body, restarts) in sent {
            let req = config(number, &format!("{{\"v\":{body}}}"));
            let expected = match winners.get(&number) {
                Some(winner) if *winner == req.digest => accepted(&req),
                Some(winner) => ConfigReply::Conflict { number, accepted: *winner },
                None if number < highest => ConfigReply::Stale { accepted: highest },
                None => accepted(&req),
            };
            prop_assert_eq!(apply(&mut log, &req), expected.clone());
            if expected == accepted(&req) {
                winners.insert(number, req.digest);
                highest = highest.max(number);
            }
            prop_assert_eq!(log.machine.config().number(), highest);
            if restarts {
                log.restart();
            }
        }
    }
}
