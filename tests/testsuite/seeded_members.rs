//! Automatic membership changes in groups of hosts that discover each other.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch::daemon::control::group_health::GroupHealth;
use coltsfootnotch::daemon::control::seeded::Connectivity;
use coltsfootnotch::daemon::control::seeded::members::{GroupView, MAX_VOTERS};
use coltsfootnotch_consensus::{MemberChange, MemberId, Membership, PeerStatus};
use googletest::prelude::*;

use super::seeded::{at, hello, member};

struct Group {
    members: Membership,
    connected: BTreeSet<MemberId>,
    peers: BTreeMap<MemberId, PeerStatus>,
    first_starts: BTreeSet<MemberId>,
    connectivity: Connectivity,
}

impl Group {
    fn new(voters: &[(&str, u128)]) -> Self {
        let voters: Vec<_> = voters.iter().map(|(h, d)| member(h, *d)).collect();
        Self {
            connected: voters.iter().cloned().collect(),
            members: Membership::of(voters),
            peers: BTreeMap::new(),
            first_starts: BTreeSet::new(),
            connectivity: Connectivity::default(),
        }
    }

    fn change(&mut self, ms: u64) -> Option<MemberChange> {
        let local = self.members.voters.first().expect("it has voters");
        let others = self.connected.iter().filter(|m| *m != local);
        let others: Vec<_> = others
            .map(|m| (m, hello(0, self.first_starts.contains(m))))
            .collect();
        let others = others.iter().map(|(m, hello)| (*m, hello));
        self.connectivity
            .update(at(ms), &self.members, local, others);
        let view = GroupView {
            members: &self.members,
            peers: &self.peers,
            connectivity: &self.connectivity,
        };
        view.next_change(at(ms))
    }

    /// Adds a learner that is connected and has caught up.
    fn learner(&mut self, learner: &MemberId) {
        self.members.learners.insert(learner.clone(), None);
        self.connected.insert(learner.clone());
        self.set_peer(learner, 0);
    }

    fn set_peer(&mut self, member: &MemberId, silent_ms: u64) {
        let peer = PeerStatus {
            silent_for: at(silent_ms),
            caught_up: true,
        };
        self.peers.insert(member.clone(), peer);
    }
}

fn three() -> Group {
    Group::new(&[("a", 1), ("b", 2), ("c", 3)])
}

fn five() -> Group {
    Group::new(&[("a", 1), ("b", 2), ("c", 3), ("d", 4), ("e", 5)])
}

fn add(member: &MemberId) -> MemberChange {
    MemberChange::Add {
        member: member.clone(),
        replaces: None,
    }
}

fn promote(member: &MemberId, replaces: Option<MemberId>) -> MemberChange {
    MemberChange::Promote {
        member: member.clone(),
        replaces,
    }
}

fn remove(member: MemberId) -> MemberChange {
    MemberChange::Remove { member }
}

/// Guards against a host that returns with an empty disk while its old identity remains a voter, which
/// leaves the group one loss from losing its quorum.
#[googletest::test]
fn a_host_with_a_new_disk_replaces_itself_at_once() {
    let mut group = three();
    let back = member("c", 9);
    group.connected.remove(&member("c", 3));
    group.connected.insert(back.clone());
    expect_that!(group.change(0), some(eq(&add(&back))));
    group.learner(&back);
    let replaced = promote(&back, Some(member("c", 3)));
    expect_that!(group.change(0), some(eq(&replaced)));
}

/// Guards against a new member that gets a vote beside a lost voter.
#[googletest::test]
fn a_new_member_waits_without_a_vote_and_replaces_a_lost_voter() {
    let mut group = three();
    let new_member = member("d", 4);
    group.connected.insert(new_member.clone());
    expect_that!(group.change(0), some(eq(&add(&new_member))));
    group.learner(&new_member);
    expect_that!(group.change(60_000), none(), "no voter is lost");
    group.connected.remove(&member("b", 2));
    expect_that!(group.change(60_100), none(), "b may be restarting");
    let replaced = promote(&new_member, Some(member("b", 2)));
    expect_that!(group.change(61_600), some(eq(&replaced)));
}

/// Guards against promoting a learner that is behind or disconnected.
#[googletest::test]
fn a_learner_that_is_not_ready_replaces_no_voter() {
    let mut group = three();
    let new_member = member("d", 4);
    group.learner(&new_member);
    group.connected.remove(&member("b", 2));
    group.change(0);
    group.connected.remove(&new_member);
    expect_that!(group.change(3_000), none(), "it is not connected");
    group.connected.insert(new_member.clone());
    let behind = PeerStatus {
        silent_for: at(0),
        caught_up: false,
    };
    group.peers.insert(new_member, behind);
    expect_that!(group.change(3_100), none(), "it is behind");
    group.set_peer(&member("d", 4), 500);
    expect_that!(group.change(3_200), none(), "it has just become silent");
    group.set_peer(&member("d", 4), 0);
    expect_that!(group.change(3_300), some(anything()));
}

/// Guards against a voter with a hanging disk that is never replaced because it is connected.
#[googletest::test]
fn a_voter_that_does_not_respond_is_replaced() {
    let mut group = three();
    let new_member = member("d", 4);
    group.learner(&new_member);
    group.set_peer(&member("b", 2), 1_400);
    expect_that!(group.change(0), none());
    group.set_peer(&member("b", 2), 1_500);
    let replaced = promote(&new_member, Some(member("b", 2)));
    expect_that!(group.change(0), some(eq(&replaced)));
}

/// Four voters with one lost need all others, while three tolerate a loss. A second disconnected voter
/// doesn't prevent the removal.
#[googletest::test]
fn an_even_group_removes_a_lost_voter_at_once() {
    let mut group = Group::new(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    group.connected.remove(&member("d", 4));
    expect_that!(group.change(0), none());
    expect_that!(group.change(1_500), some(eq(&remove(member("d", 4)))));
    let mut group = Group::new(&[("a", 1), ("b", 2), ("c", 3), ("d", 4), ("e", 5), ("f", 6)]);
    group.connected.remove(&member("f", 6));
    group.change(0);
    group.connected.remove(&member("e", 5));
    expect_that!(group.change(1_500), some(eq(&remove(member("f", 6)))));
}

#[googletest::test]
fn two_learners_are_promoted_to_the_next_odd_number() {
    let mut group = three();
    let (d, e) = (member("d", 4), member("e", 5));
    group.learner(&d);
    expect_that!(group.change(0), none());
    group.learner(&e);
    group.first_starts.extend([d.clone(), e.clone()]);
    expect_that!(group.change(0), some(eq(&promote(&d, None))));
    let mut group = Group::new(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    group.learner(&e);
    expect_that!(group.change(0), some(eq(&promote(&e, None))));
    let mut group = Group::new(&[("a", 1)]);
    group.learner(&d);
    let grown = promote(&d, None);
    expect_that!(
        group.change(0),
        some(eq(&grown)),
        "one voter tolerates no loss"
    );
}

/// Guards against two planned replacements that leave two lost voters: the new members join shortly before
/// the hosts that they replace leave.
#[googletest::test]
fn new_members_wait_before_the_group_grows() {
    let mut group = three();
    let (d, e) = (member("d", 4), member("e", 5));
    group.learner(&d);
    group.learner(&e);
    expect_that!(group.change(0), none());
    expect_that!(group.change(29_000), none());
    expect_that!(group.change(30_000), some(eq(&promote(&d, None))));
    group.set_peer(&member("b", 2), 600);
    expect_that!(group.change(30_000), none(), "a voter is missing");
}

/// Guards against a group that has lost two of five voters and bears only one loss for half a minute after
/// their hosts, or others, are back.
#[googletest::test]
fn a_group_that_has_shrunk_returns_to_its_size_at_once() {
    let mut group = three();
    group.members.size = 5;
    let (d, f) = (member("d", 4), member("f", 6));
    group.learner(&d);
    expect_that!(group.change(0), none(), "four voters bear no more");
    group.learner(&f);
    expect_that!(group.change(0), some(eq(&promote(&d, None))));
    group.set_peer(&member("b", 2), 600);
    expect_that!(group.change(100), none(), "a voter is missing");
    let mut group = five();
    group.learner(&f);
    group.learner(&member("g", 7));
    expect_that!(group.change(0), none(), "it has its size");
}

#[googletest::test]
fn only_one_change_is_made_at_a_time() {
    let mut group = three();
    let (d, e, f) = (member("d", 4), member("e", 5), member("f", 6));
    group.learner(&d);
    group.connected.insert(e.clone());
    expect_that!(group.change(0), some(eq(&add(&e))));
    group.members.leaving = Some(member("c", 3));
    expect_that!(group.change(0), none(), "a voter is being removed");
    group.members.leaving = None;
    group.learner(&e);
    group.connected.insert(f);
    group.peers.clear();
    expect_that!(group.change(0), none(), "there are two learners");
    group.connected.remove(&d);
    group.change(100);
    expect_that!(group.change(1_600), some(eq(&remove(d))));
}

/// Guards against a group that shrinks during a network partition, and loses its majority with the next
/// loss.
#[googletest::test]
fn the_group_does_not_shrink_during_a_partition() {
    let mut group = three();
    group.connected.remove(&member("c", 3));
    group.change(0);
    expect_that!(group.change(60_000), none(), "never below three");
    let mut group = five();
    group.connected.remove(&member("d", 4));
    group.connected.remove(&member("e", 5));
    group.change(0);
    expect_that!(
        group.change(60_000),
        none(),
        "not while another is disconnected"
    );
    group.connected.insert(member("e", 5));
    group.change(60_100);
    expect_that!(group.change(60_200), some(eq(&remove(member("d", 4)))));
}

#[googletest::test]
fn the_group_does_not_grow_beyond_seven_voters() {
    let voters: Vec<_> = (0..MAX_VOTERS as u128)
        .map(|n| (format!("h{n}"), n))
        .collect();
    let voters: Vec<_> = voters.iter().map(|(h, d)| (h.as_str(), *d)).collect();
    let mut group = Group::new(&voters);
    let (x, y) = (member("x", 100), member("y", 101));
    group.connected.insert(x.clone());
    expect_that!(group.change(0), some(eq(&add(&x))));
    group.learner(&x);
    group.learner(&y);
    group.change(0);
    expect_that!(group.change(60_000), none());
}

/// Guards against reporting a spare voter when the next loss takes the majority.
#[googletest::test]
fn a_lost_voter_leaves_no_spare_beside_a_fourth_voter() {
    let group = Group::new(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut connected = group.connected.clone();
    expect_that!(GroupHealth::of(&group.members, &connected).spare(), eq(1));
    connected.remove(&member("c", 3));
    connected.insert(member("c", 9));
    expect_that!(GroupHealth::of(&group.members, &connected).spare(), eq(0));
    let group = Group::new(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    connected.insert(member("d", 4));
    expect_that!(GroupHealth::of(&group.members, &connected).spare(), eq(0));
    connected.remove(&member("b", 2));
    expect_that!(GroupHealth::of(&group.members, &connected).spare(), eq(-1));
}
