//! Behaviour of a group under single failures, as seen by callers.

mod group;

use coltsfootnotch_consensus::{
    BootstrapRefused, ChangeRefused, CoreConfig, LogIndex, MemberChange, MemberId, Proposal,
    ProposeRefused,
};
use googletest::prelude::*;
use group::{Group, member, small_limits};

/// Long enough for any election to complete.
const ELECTION_MS: u64 = 2_000;

fn group_of_three() -> (Group, MemberId) {
    let mut group = Group::new(small_limits(), 3, 7);
    group.propose();
    group.run(100);
    let leader = group.leader().expect("a new group elects a leader");
    (group, leader)
}

fn follower(group: &Group) -> MemberId {
    let leader = group.leader();
    let mut others = group.nodes.keys().filter(|m| Some(*m) != leader.as_ref());
    others.next().expect("there are followers").clone()
}

/// Proposes commands, one every 10 ms.
fn load(group: &mut Group, proposals: u32) {
    for _ in 0..proposals {
        group.propose();
        group.run(10);
    }
}

// Guards against stale reads from a partitioned leader: the read waits for a majority and fails
// when the leader steps down.
#[gtest]
fn an_isolated_leader_answers_no_reads() {
    let (mut group, old) = group_of_three();
    group.isolate(&old);
    group.read();
    expect_that!(group.pending_reads(&old), eq(1));
    load(&mut group, 200);
    expect_that!(group.leader(), some(not(eq(&old))));
    expect_that!(group.node(&old).is_leader(), eq(false));
    expect_that!(group.checks.reads_answered, eq(0));
    expect_that!(group.pending_reads(&old), eq(0));
}

// Guards against a lease that outlasts the election of another leader when clock rates differ. The
// fake group compares each answer with what was acknowledged before the read started.
#[gtest]
fn an_isolated_leader_answers_no_stale_reads_with_clock_drift() {
    for seed in 0..60 {
        let cfg = CoreConfig {
            lease_reads: seed % 2 == 0,
            drift_per_mille: 200,
            ..small_limits()
        };
        let mut group = Group::new(cfg, 3, seed);
        let old = group.leader().expect("a new group elects a leader");
        group.isolate(&old);
        for _ in 0..300 {
            group.propose();
            group.read();
            group.run(3);
        }
        expect_that!(group.leader(), some(not(eq(&old))));
    }
}

// Guards against a group that stops committing because its leader can send but not receive: the
// leader steps down after a timeout.
#[gtest]
fn a_leader_without_incoming_messages_steps_down() {
    let (mut group, old) = group_of_three();
    for other in group.nodes.keys().cloned().collect::<Vec<_>>() {
        group.cut(&other, &old);
    }
    let before = group.checks.acked.len();
    load(&mut group, 300);
    expect_that!(group.leader(), some(not(eq(&old))));
    expect_that!(group.checks.acked.len(), gt(before));
}

// Guards against an election caused by a member that reconnects after a long partition.
#[gtest]
fn a_reconnecting_member_causes_no_election() {
    let (mut group, leader) = group_of_three();
    let isolated = follower(&group);
    let term = group.node(&leader).term();
    group.isolate(&isolated);
    load(&mut group, 3_000);
    group.heal();
    load(&mut group, 100);
    expect_that!(group.leader(), some(eq(&leader)));
    expect_that!(group.node(&leader).term(), eq(term));
    group.assert_converges();
}

// Guards against a new member that becomes a voter, and thus raises the quorum, before its synced
// log has caught up.
#[gtest]
fn a_new_member_becomes_a_voter_only_when_it_has_caught_up() {
    let (mut group, leader) = group_of_three();
    let new = member(9, 99);
    group.add_member(&new);
    group.isolate(&new);
    let now = group.now_ms;
    let add = MemberChange::Add {
        member: new.clone(),
        replaces: None,
    };
    group.node(&leader).change(now, &add);
    load(&mut group, 100);
    let members = group.node(&leader).status().members;
    expect_that!(members.learners.contains_key(&new), eq(true));
    expect_that!(members.quorum(), eq(2));

    group.node(&new).disk_stalled = true;
    group.heal();
    load(&mut group, 100);
    let members = group.node(&leader).status().members;
    expect_that!(members.learners.contains_key(&new), eq(true));

    group.node(&new).disk_stalled = false;
    load(&mut group, 200);
    let members = group.node(&leader).status().members;
    expect_that!(members.voters.contains(&new), eq(true));
}

// Guards against automatic promotion when it is disabled, and against promotion of a learner that
// lacks committed entries.
#[gtest]
fn a_learner_is_not_promoted_automatically_when_disabled() {
    let cfg = CoreConfig {
        promote_learners: false,
        ..small_limits()
    };
    let mut group = Group::new(cfg, 3, 7);
    load(&mut group, 10);
    let leader = group.leader().expect("a new group elects a leader");
    let old = follower(&group);
    let new = member(9, 99);
    group.add_member(&new);
    group.node(&new).disk_stalled = true;
    let now = group.now_ms;
    let add = MemberChange::Add {
        member: new.clone(),
        replaces: None,
    };
    group.node(&leader).change(now, &add);
    load(&mut group, 20);
    let promote = MemberChange::Promote {
        member: new.clone(),
        replaces: Some(old.clone()),
    };
    let refused = ChangeRefused::NotCaughtUp {
        member: new.clone(),
    };
    expect_that!(try_change(&mut group, &leader, &promote), err(eq(&refused)));

    group.node(&new).disk_stalled = false;
    load(&mut group, 100);
    let peer = group.node(&leader).core.as_ref().map(|c| c.peers()[&new]);
    expect_that!(peer.map(|p| p.caught_up), some(eq(true)));
    let members = group.node(&leader).status().members;
    expect_that!(members.learners.contains_key(&new), eq(true));

    expect_that!(try_change(&mut group, &leader, &promote), ok(anything()));
    load(&mut group, 100);
    let members = group.node(&leader).status().members;
    expect_that!(members.voters.contains(&new), eq(true));
    expect_that!(members.contains(&old), eq(false));
    let refused = ChangeRefused::NotLearner { member: new };
    expect_that!(try_change(&mut group, &leader, &promote), err(eq(&refused)));
}

fn try_change(
    group: &mut Group,
    leader: &MemberId,
    change: &MemberChange,
) -> Result<Proposal, ChangeRefused> {
    let core = group.node(leader).core.as_mut().expect("the member runs");
    core.change_members(std::time::Duration::ZERO, change)
}

// Guards against the loss of acknowledged commands when the leader's disk is lost immediately after
// another member was replaced.
#[gtest]
fn losing_a_second_disk_right_after_a_replacement_loses_nothing() {
    let (mut group, _) = group_of_three();
    load(&mut group, 200);
    let first = follower(&group);
    group.replace(&first, 100);
    while group.replacement.is_some() {
        load(&mut group, 1);
    }
    let second = group.leader().expect("the group has a leader");
    group.replace(&second, 200);
    group.assert_converges();
    expect_that!(group.checks.acked.len(), gt(150));
    expect_that!(group.nodes.len(), eq(3));
}

// Guards against counting a host with an empty disk as the member that it was before: with another
// host down, nothing is committed.
#[gtest]
fn a_host_with_an_empty_disk_is_a_new_member() {
    let (mut group, leader) = group_of_three();
    let lost = follower(&group);
    let new = group.replace(&lost, 100);
    group.replacement = None;
    group.run(ELECTION_MS);
    expect_that!(group.node(&new).status().last, eq(LogIndex(0)));
    let remaining = follower(&group);
    expect_that!(remaining, not(eq(&leader)));
    let other = group.nodes.keys().find(|m| **m != leader && **m != new);
    let other = other.expect("one of three members is left").clone();
    group.crash(&other);
    let before = group.checks.acked.len();
    load(&mut group, 100);
    expect_that!(group.checks.acked.len(), eq(before));
    group.restart(&other);
    load(&mut group, 200);
    expect_that!(group.checks.acked.len(), gt(before));
}

// Guards against acknowledging entries that a majority has received but not synced.
#[gtest]
fn nothing_is_acknowledged_before_a_majority_has_synced_it() {
    let (mut group, leader) = group_of_three();
    let followers: Vec<_> = group
        .nodes
        .keys()
        .filter(|m| **m != leader)
        .cloned()
        .collect();
    group.node(&followers[0]).disk_stalled = true;
    load(&mut group, 20);
    let with_one_stalled = group.checks.acked.len();
    expect_that!(with_one_stalled, gt(10));
    group.node(&followers[1]).disk_stalled = true;
    group.run(100);
    let before = group.checks.acked.len();
    load(&mut group, 20);
    expect_that!(group.checks.acked.len(), eq(before));
    for id in &followers {
        group.crash(id);
        group.node(id).disk_stalled = false;
    }
    group.assert_converges();
}

// Guards against waiting for an election timeout when the leader is stopped as planned.
#[gtest]
fn a_leadership_transfer_takes_less_than_an_election_timeout() {
    let (mut group, old) = group_of_three();
    load(&mut group, 10);
    let now = group.now_ms;
    group.node(&old).transfer(now);
    group.run(100);
    expect_that!(group.leader(), some(not(eq(&old))));
    let before = group.checks.acked.len();
    load(&mut group, 20);
    expect_that!(group.checks.acked.len(), gt(before + 10));
}

// Guards against a member that cannot catch up after the leader has compacted the entries it lacks,
// when snapshot chunks are lost on the way.
#[gtest]
fn a_lagging_member_catches_up_by_snapshot() {
    let (mut group, _) = group_of_three();
    let lagging = follower(&group);
    group.crash(&lagging);
    load(&mut group, 300);
    let leader = group.leader().expect("two of three members elect a leader");
    expect_that!(group.node(&leader).status().snapshot, gt(LogIndex(200)));
    group.fault_percent = 10;
    group.restart(&lagging);
    load(&mut group, 200);
    group.assert_converges();
    expect_that!(group.node(&lagging).status().snapshot, gt(LogIndex(200)));
}

// Guards against refusals with a wrong reason, for requests that can't be served.
#[gtest]
fn refusals_state_the_reason() {
    let (mut group, leader) = group_of_three();
    let other = follower(&group);
    let now = std::time::Duration::ZERO;
    let core = group.node(&other).core.as_mut().expect("the member runs");
    let refused = core.propose(now, [1]).expect_err("a follower refuses");
    expect_that!(
        refused,
        eq(&ProposeRefused::NotLeader {
            hint: Some(leader.clone())
        })
    );
    let refused = core.bootstrap(now, [other.clone()]);
    expect_that!(refused, err(eq(&BootstrapRefused::NotEmpty)));

    let core = group.node(&leader).core.as_mut().expect("the member runs");
    let limit = small_limits().max_command_bytes;
    let refused = core.propose(now, vec![0; limit + 1]);
    expect_that!(
        refused,
        err(eq(&ProposeRefused::TooLong {
            len: limit + 1,
            limit
        }))
    );
    let remove = MemberChange::Remove { member: leader };
    let refused = core.change_members(now, &remove);
    expect_that!(refused, err(eq(&ChangeRefused::IsLeader)));
    let again = MemberChange::Add {
        member: other.clone(),
        replaces: None,
    };
    let refused = core.change_members(now, &again);
    expect_that!(
        refused,
        err(eq(&ChangeRefused::AlreadyMember { member: other }))
    );
}
