//! Accepted configurations are durable, and each number is accepted once.

use coltsfootnotch_manifest::{Manifest, ManifestDelta};
use coltsfootnotch_state::{ConfigReply, Op};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromRelay, ProposeError};
use googletest::prelude::*;

use super::client::{Client, config_reply, manifest};
use super::group::{Group, free_address, wait_until};

/// The leader and then another member are lost after configuration 1 was accepted, each with its data
/// folder kept. The remaining majority confirms 1 and accepts 2; after all have restarted, every member
/// confirms 2.
#[test]
fn an_accepted_configuration_survives_the_loss_of_the_leader_and_of_another() {
    let mut group = Group::started(|_| {});
    let leader = group.wait_for_leader();
    let mut operator = group.client(leader, Role::Operator, "op");
    let accepted = operator.apply(manifest(1, &["bistro"]));
    assert_that!(
        accepted,
        matches_pattern!(ConfigReply::Accepted { number: eq(&1), .. })
    );

    group.kill(leader);
    let next = group.wait_for_leader();
    let mut operator = group.client(next, Role::Operator, "op");
    assert_that!(operator.confirmed_number(), eq(1));

    group.start(leader);
    group.kill(next);
    let third = group.wait_for_leader();
    let mut operator = group.client(third, Role::Operator, "op");
    assert_that!(operator.confirmed_number(), eq(1));
    let accepted = operator.apply(manifest(2, &["bistro", "diner"]));
    assert_that!(
        accepted,
        matches_pattern!(ConfigReply::Accepted { number: eq(&2), .. })
    );

    group.start(next);
    group.wait_for_leader();
    for at in 0..3 {
        let mut operator = group.client(at, Role::Operator, "op");
        assert_that!(operator.confirmed_number(), eq(2), "member {at}");
    }
}

/// Two operators concurrently apply number 1 with different content through different members. Exactly one
/// is accepted, and the other gets a conflict with the accepted digest.
#[test]
fn of_two_operators_with_one_number_exactly_one_wins() {
    let group = Group::started(|_| {});
    let reqs = [manifest(1, &["bistro"]), manifest(1, &["diner"])];
    let mut first = group.client(0, Role::Operator, "op-1");
    let mut second = group.client(1, Role::Operator, "op-2");

    let first_id = first.start_propose(&Op::ApplyConfig(reqs[0].clone()));
    let second_id = second.start_propose(&Op::ApplyConfig(reqs[1].clone()));
    let replies = [
        first.finish_propose(first_id),
        second.finish_propose(second_id),
    ];

    // A reply lost in an election is requested again, as by an operator.
    let [first_reply, second_reply] = replies.map(|reply| reply.ok().map(config_reply));
    let replies = [
        first_reply.unwrap_or_else(|| first.apply(reqs[0].clone())),
        second_reply.unwrap_or_else(|| second.apply(reqs[1].clone())),
    ];
    let accepted = |reply: &ConfigReply| matches!(reply, ConfigReply::Accepted { .. });
    let winner = replies.iter().position(accepted).expect("one is accepted");
    let (number, digest) = (1, reqs[winner].digest);
    assert_that!(
        replies[winner],
        eq(&ConfigReply::Accepted { number, digest })
    );
    assert_that!(
        replies[1 - winner],
        eq(&ConfigReply::Conflict {
            number,
            accepted: digest
        })
    );
}

/// An operator resends a change, also through other members and after a later change. Every resend gets
/// the reply of the first; a lower number that was never accepted is refused.
#[test]
fn a_resent_change_gets_the_same_reply() {
    let group = Group::started(|_| {});
    let req = manifest(2, &["bistro"]);
    let mut operator = group.client(0, Role::Operator, "op");
    let first = operator.apply(req.clone());
    assert_that!(
        first,
        matches_pattern!(ConfigReply::Accepted { number: eq(&2), .. })
    );

    for at in 0..3 {
        let mut operator = group.client(at, Role::Operator, "op");
        assert_that!(operator.apply(req.clone()), eq(&first), "member {at}");
    }
    let later = operator.apply(manifest(3, &["diner"]));
    assert_that!(later, matches_pattern!(ConfigReply::Accepted { .. }));
    assert_that!(operator.apply(req), eq(&first));
    let lower = operator.apply(manifest(1, &["bistro"]));
    assert_that!(lower, eq(&ConfigReply::Stale { accepted: 3 }));
}

/// A member is partitioned while the others accept configuration 2. A host without a configuration
/// connects to it and must not get configuration 1: the member responds that it has no quorum.
#[test]
fn a_partitioned_member_confirms_no_configuration() {
    let mut group = Group::started(|_| {});
    let mut operator = group.client(0, Role::Operator, "op");
    operator.accept(manifest(1, &["bistro"]));
    let applied = |operator: &mut Client| operator.status()["configuration"]["number"].as_u64();
    let mut of_third = group.client(2, Role::Operator, "op");
    wait_until("the third member has applied 1", || {
        applied(&mut of_third) == Some(1)
    });

    group.kill(2);
    let mut operator = group.client(group.wait_for_leader(), Role::Operator, "op");
    operator.accept(manifest(2, &["diner"]));
    let mut partitioned = group.config(2);
    partitioned.listen = free_address();
    for member in &mut partitioned.members {
        member.address = free_address();
    }
    group.members[2].address = partitioned.listen;
    group.start_with(2, partitioned);

    let mut entry = group.client(2, Role::Entry, "e1");
    entry.beat(0);
    assert_that!(entry.confirmed(), err(eq(&ProposeError::NoQuorum)));
    entry.beat(0);
    let refused = entry.propose(&Op::Batch(Vec::new()));
    assert_that!(refused, err(eq(&ProposeError::NoQuorum)));
    let has_received_config = entry.seen.iter().any(|m| matches!(m, FromRelay::Config(_)));
    assert_that!(has_received_config, eq(false));
}

/// A host queries its first configuration and then gets the next one as a delta. It doesn't report that
/// one in force, as if the delta did not apply, so the full configuration follows.
#[test]
fn a_host_that_is_behind_is_sent_the_configuration() {
    let group = Group::started(|_| {});
    let mut operator = group.client(0, Role::Operator, "op");
    operator.accept(manifest(1, &["bistro"]));

    let mut entry = group.client(1, Role::Entry, "e1");
    entry.beat(0);
    assert_that!(entry.confirmed_number(), eq(1));
    entry.beat(1);
    let first = Manifest::from_body(&manifest(1, &["bistro"]).body).expect("a manifest");
    let second = manifest(2, &["bistro", "diner"]);
    operator.accept(second.clone());
    let delta = entry.wait_for(|message| match message {
        FromRelay::ConfigDelta { delta, .. } => Some(delta.clone()),
        _ => None,
    });
    let delta: ManifestDelta = postcard::from_bytes(&delta).expect("a delta");
    let result = delta.apply(&first).expect("it fits").to_body();
    assert_that!(result, eq(&second.body));

    let full = entry.wait_for(|message| match message {
        FromRelay::Config(config) => Some(config.body.clone()),
        _ => None,
    });
    assert_that!(full, eq(&second.body));
}

/// Guards against accepting a body that every host refuses: an invalid manifest, or one with another
/// number than its request.
#[test]
fn an_invalid_manifest_is_refused_before_it_is_proposed() {
    let group = Group::started(|_| {});
    let mut operator = group.client(0, Role::Operator, "op");
    let mut req = manifest(1, &["bistro"]);
    req.number = 2;
    assert_that!(operator.try_apply(req), err(eq(&ProposeError::BadCommand)));
    assert_that!(operator.confirmed_number(), eq(0));
}
