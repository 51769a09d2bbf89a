//! One failure at a time, with what the caller sees.

mod group;

use coltsfootnotch_consensus::{
    BootstrapRefused, ChangeRefused, CoreConfig, LogIndex, MemberChange, MemberId, Proposal,
    ProposeRefused,
};
use googletest::prelude::*;
use group::{Group, member, small_limits};

/// Long enough for any election to end.
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

/// Load that the group must carry while something else happens.
fn load(group: &mut Group, proposals: u32) {
    for _ in 0..proposals {
        group.propose();
        group.run(10);
    }
}

// An operator reads the configuration from a control host that was silently cut off while it led.
// The rest elects another leader and accepts a change. The old one must not answer from before it:
// without an answer from a majority the read waits, and fails when the leader steps down.
#[gtest]
fn an_isolated_leader_answers_no_read() {
    let (mut group, old) = group_of_three();
    group.isolate(&old);
    group.read();
    expect_that!(group.reads_waiting(&old), eq(1));
    load(&mut group, 200);
    expect_that!(group.leader(), some(not(eq(&old))));
    expect_that!(group.node(&old).leads(), eq(false));
    expect_that!(group.seen.reads_answered, eq(0));
    expect_that!(group.reads_waiting(&old), eq(0));
}

// As above while others write and the old leader is read all the time, with clocks that run at
// rates far apart and with and without leases: the fake group compares each answer with what was
// acknowledged before the read began. The lease ends before another leader can accept anything.
#[gtest]
fn a_leader_cut_off_answers_nothing_outdated_whatever_its_clock() {
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

// The leader can send and hears nobody: its followers stay with it, and nothing is committed any
// more. It steps down by its own clock, so that the others can go on.
#[gtest]
fn a_leader_that_hears_nobody_steps_down() {
    let (mut group, old) = group_of_three();
    for other in group.nodes.keys().cloned().collect::<Vec<_>>() {
        group.cut(&other, &old);
    }
    let before = group.seen.acked.len();
    load(&mut group, 300);
    expect_that!(group.leader(), some(not(eq(&old))));
    expect_that!(group.seen.acked.len(), gt(before));
}

// A member is cut off for a long time and comes back. It asked for votes in vain all the while.
// Callers must not notice its return: same leader, same term, no election.
#[gtest]
fn a_returning_member_does_not_disturb() {
    let (mut group, leader) = group_of_three();
    let away = follower(&group);
    let term = group.node(&leader).term();
    group.isolate(&away);
    load(&mut group, 3_000);
    group.heal();
    load(&mut group, 100);
    expect_that!(group.leader(), some(eq(&leader)));
    expect_that!(group.node(&leader).term(), eq(term));
    group.settle();
}

// A host is replaced, and the newcomer can't be reached at first. It is no voter until its synced
// log has caught up: commits go on with the two that are left, and it never makes up a majority.
#[gtest]
fn a_newcomer_counts_only_when_it_has_caught_up() {
    let (mut group, leader) = group_of_three();
    let new = member(9, 99);
    group.join(&new);
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

    group.node(&new).disk_hangs = true;
    group.heal();
    load(&mut group, 100);
    let members = group.node(&leader).status().members;
    expect_that!(members.learners.contains_key(&new), eq(true));

    group.node(&new).disk_hangs = false;
    load(&mut group, 200);
    let members = group.node(&leader).status().members;
    expect_that!(members.voters.contains(&new), eq(true));
}

// Guards against a newcomer that gets a vote by itself where the group leaves that to its user, and
// against one that is given a vote before it holds what is committed.
#[gtest]
fn a_learner_waits_to_be_promoted_where_the_group_is_told_so() {
    let cfg = CoreConfig {
        promote_learners: false,
        ..small_limits()
    };
    let mut group = Group::new(cfg, 3, 7);
    load(&mut group, 10);
    let leader = group.leader().expect("a new group elects a leader");
    let old = follower(&group);
    let new = member(9, 99);
    group.join(&new);
    group.node(&new).disk_hangs = true;
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

    group.node(&new).disk_hangs = false;
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
    let core = group.node(leader).core.as_mut().expect("it runs");
    core.change_members(std::time::Duration::ZERO, change)
}

// One host's disk is lost and the host is replaced; as soon as the group calls the repair done,
// a second host's disk is lost, the one that led. Everything acknowledged is still there, read
// from the newcomer and the host that is left.
#[gtest]
fn a_second_host_lost_right_after_a_repair_loses_nothing() {
    let (mut group, _) = group_of_three();
    load(&mut group, 200);
    let first = follower(&group);
    group.replace(&first, 100);
    while group.repair.is_some() {
        load(&mut group, 1);
    }
    let second = group.leader().expect("the repair was led");
    group.replace(&second, 200);
    group.settle();
    expect_that!(group.seen.acked.len(), gt(150));
    expect_that!(group.nodes.len(), eq(3));
}

// A host comes back with an empty disk. It gets no message meant for the member it was, and its
// vote and its log count for nothing: with another host away, the rest commits nothing, rather
// than take a majority out of a member that has forgotten what it promised.
#[gtest]
fn a_host_with_an_empty_disk_is_a_new_member() {
    let (mut group, leader) = group_of_three();
    let lost = follower(&group);
    let new = group.replace(&lost, 100);
    group.repair = None;
    group.run(ELECTION_MS);
    expect_that!(group.node(&new).status().last, eq(LogIndex(0)));
    let away = follower(&group);
    expect_that!(away, not(eq(&leader)));
    let other = group.nodes.keys().find(|m| **m != leader && **m != new);
    let other = other.expect("one of three is left").clone();
    group.crash(&other);
    let before = group.seen.acked.len();
    load(&mut group, 100);
    expect_that!(group.seen.acked.len(), eq(before));
    group.restart(&other);
    load(&mut group, 200);
    expect_that!(group.seen.acked.len(), gt(before));
}

// A change counts when a majority has synced it, not when a majority has received it. With two
// disks hanging nothing is acknowledged; when the two lose power, nothing acknowledged is gone.
#[gtest]
fn nothing_is_acknowledged_before_a_majority_has_synced_it() {
    let (mut group, leader) = group_of_three();
    let followers: Vec<_> = group
        .nodes
        .keys()
        .filter(|m| **m != leader)
        .cloned()
        .collect();
    group.node(&followers[0]).disk_hangs = true;
    load(&mut group, 20);
    let with_one_hanging = group.seen.acked.len();
    expect_that!(with_one_hanging, gt(10));
    group.node(&followers[1]).disk_hangs = true;
    group.run(100);
    let before = group.seen.acked.len();
    load(&mut group, 20);
    expect_that!(group.seen.acked.len(), eq(before));
    for id in &followers {
        group.crash(id);
        group.node(id).disk_hangs = false;
    }
    group.settle();
}

// A planned stop of the leader: it hands over to a member that has everything, and callers wait
// for a few messages rather than for an election timeout.
#[gtest]
fn a_planned_stop_hands_the_leadership_over() {
    let (mut group, old) = group_of_three();
    load(&mut group, 10);
    let now = group.now_ms;
    group.node(&old).transfer(now);
    group.run(100);
    expect_that!(group.leader(), some(not(eq(&old))));
    let before = group.seen.acked.len();
    load(&mut group, 20);
    expect_that!(group.seen.acked.len(), gt(before + 10));
}

// A member is away for longer than the leader keeps entries. It catches up by snapshot, in many
// parts and with messages lost, and applies the rest.
#[gtest]
fn a_lagging_member_catches_up_by_snapshot() {
    let (mut group, _) = group_of_three();
    let away = follower(&group);
    group.crash(&away);
    load(&mut group, 300);
    let leader = group.leader().expect("two of three go on");
    expect_that!(group.node(&leader).status().snapshot, gt(LogIndex(200)));
    group.trouble = 10;
    group.restart(&away);
    load(&mut group, 200);
    group.settle();
    expect_that!(group.node(&away).status().snapshot, gt(LogIndex(200)));
}

// What the caller sees when it asks the wrong member, or asks for the impossible.
#[gtest]
fn refusals_say_why() {
    let (mut group, leader) = group_of_three();
    let other = follower(&group);
    let now = std::time::Duration::ZERO;
    let core = group.node(&other).core.as_mut().expect("it runs");
    let refused = core.propose(now, [1]).expect_err("a follower refuses");
    expect_that!(
        refused,
        eq(&ProposeRefused::NotLeader {
            hint: Some(leader.clone())
        })
    );
    let refused = core.bootstrap(now, [other.clone()]);
    expect_that!(refused, err(eq(&BootstrapRefused::NotEmpty)));

    let core = group.node(&leader).core.as_mut().expect("it runs");
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
