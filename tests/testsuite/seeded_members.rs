//! Control hosts that find each other: how the members of their group change.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch::daemon::control::group_health::GroupHealth;
use coltsfootnotch::daemon::control::seeded::Contact;
use coltsfootnotch::daemon::control::seeded::members::{GroupView, MAX_VOTERS};
use coltsfootnotch_consensus::{MemberChange, MemberId, Membership, PeerStatus};
use googletest::prelude::*;

use super::seeded::{at, hello, member};

struct Group {
    members: Membership,
    connected: BTreeSet<MemberId>,
    peers: BTreeMap<MemberId, PeerStatus>,
    first_starters: BTreeSet<MemberId>,
    contact: Contact,
}

impl Group {
    fn new(voters: &[(&str, u128)]) -> Self {
        let voters: Vec<_> = voters.iter().map(|(h, d)| member(h, *d)).collect();
        Self {
            connected: voters.iter().cloned().collect(),
            members: Membership::of(voters),
            peers: BTreeMap::new(),
            first_starters: BTreeSet::new(),
            contact: Contact::default(),
        }
    }

    fn change(&mut self, ms: u64) -> Option<MemberChange> {
        let own = self.members.voters.first().expect("it has voters");
        let others = self.connected.iter().filter(|m| *m != own);
        let others: Vec<_> = others
            .map(|m| (m, hello(0, self.first_starters.contains(m))))
            .collect();
        let others = others.iter().map(|(m, hello)| (*m, hello));
        self.contact.note(at(ms), &self.members, own, others);
        let view = GroupView {
            members: &self.members,
            peers: &self.peers,
            contact: &self.contact,
        };
        view.next_change(at(ms))
    }

    /// A learner that is connected and has caught up.
    fn learner(&mut self, learner: &MemberId) {
        self.members.learners.insert(learner.clone(), None);
        self.connected.insert(learner.clone());
        self.hears(learner, 0);
    }

    fn hears(&mut self, member: &MemberId, silent_ms: u64) {
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

/// The next loss would stop the group. A control host comes back with an empty disk: its old identity
/// counts as a voter that never answers, until the leader puts the new one in its place.
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

/// Guards against a newcomer that gets a vote beside a voter that is gone.
#[googletest::test]
fn a_newcomer_waits_without_a_vote_and_replaces_who_is_gone() {
    let mut group = three();
    let newcomer = member("d", 4);
    group.connected.insert(newcomer.clone());
    expect_that!(group.change(0), some(eq(&add(&newcomer))));
    group.learner(&newcomer);
    expect_that!(group.change(60_000), none(), "nobody is gone");
    group.connected.remove(&member("b", 2));
    expect_that!(group.change(60_100), none(), "it may be a restart");
    let replaced = promote(&newcomer, Some(member("b", 2)));
    expect_that!(group.change(61_600), some(eq(&replaced)));
}

/// Guards against a swap that leaves the group to a learner that lacks entries or has gone itself.
#[googletest::test]
fn a_learner_that_is_not_ready_replaces_nobody() {
    let mut group = three();
    let newcomer = member("d", 4);
    group.learner(&newcomer);
    group.connected.remove(&member("b", 2));
    group.change(0);
    group.connected.remove(&newcomer);
    expect_that!(group.change(3_000), none(), "it is not connected");
    group.connected.insert(newcomer.clone());
    let lacks = PeerStatus {
        silent_for: at(0),
        caught_up: false,
    };
    group.peers.insert(newcomer, lacks);
    expect_that!(group.change(3_100), none(), "it lacks entries");
    group.hears(&member("d", 4), 500);
    expect_that!(group.change(3_200), none(), "it has just been lost");
    group.hears(&member("d", 4), 0);
    expect_that!(group.change(3_300), some(anything()));
}

/// Guards against a voter whose disk hangs and which is never replaced, since its connection is up.
#[googletest::test]
fn a_voter_that_does_not_answer_is_replaced() {
    let mut group = three();
    let newcomer = member("d", 4);
    group.learner(&newcomer);
    group.hears(&member("b", 2), 1_400);
    expect_that!(group.change(0), none());
    group.hears(&member("b", 2), 1_500);
    let replaced = promote(&newcomer, Some(member("b", 2)));
    expect_that!(group.change(0), some(eq(&replaced)));
}

/// Four voters of which one is gone need all others; three bear a loss. A second one that is away does
/// not keep the first.
#[googletest::test]
fn an_even_group_removes_a_gone_voter_at_once() {
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
fn two_learners_make_the_next_odd_number() {
    let mut group = three();
    let (d, e) = (member("d", 4), member("e", 5));
    group.learner(&d);
    expect_that!(group.change(0), none());
    group.learner(&e);
    group.first_starters.extend([d.clone(), e.clone()]);
    expect_that!(group.change(0), some(eq(&promote(&d, None))));
    let mut group = Group::new(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    group.learner(&e);
    expect_that!(group.change(0), some(eq(&promote(&e, None))));
    let mut group = Group::new(&[("a", 1)]);
    group.learner(&d);
    let grown = promote(&d, None);
    expect_that!(group.change(0), some(eq(&grown)), "one bears no loss");
}

/// Guards against two planned replacements that leave two voters too many: the newcomers come first, and
/// the hosts that they replace leave for good a moment later.
#[googletest::test]
fn newcomers_wait_before_the_group_grows_by_them() {
    let mut group = three();
    let (d, e) = (member("d", 4), member("e", 5));
    group.learner(&d);
    group.learner(&e);
    expect_that!(group.change(0), none());
    expect_that!(group.change(29_000), none());
    expect_that!(group.change(30_000), some(eq(&promote(&d, None))));
    group.hears(&member("b", 2), 600);
    expect_that!(group.change(30_000), none(), "a voter is missing");
}

#[googletest::test]
fn one_change_at_a_time() {
    let mut group = three();
    let (d, e, f) = (member("d", 4), member("e", 5), member("f", 6));
    group.learner(&d);
    group.connected.insert(e.clone());
    expect_that!(group.change(0), some(eq(&add(&e))));
    group.members.leaving = Some(member("c", 3));
    expect_that!(group.change(0), none(), "a voter is on its way out");
    group.members.leaving = None;
    group.learner(&e);
    group.connected.insert(f);
    group.peers.clear();
    expect_that!(group.change(0), none(), "there are two learners");
    group.connected.remove(&d);
    group.change(100);
    expect_that!(group.change(1_600), some(eq(&remove(d))));
}

/// Two of four are cut off for a while. A leader that removed them would leave a group of two, of
/// which one loss takes the majority, though the two cut off hold everything.
#[googletest::test]
fn the_group_does_not_shrink_around_a_cut() {
    let mut group = three();
    group.connected.remove(&member("c", 3));
    group.change(0);
    expect_that!(group.change(60_000), none(), "never below three");
    let mut group = five();
    group.connected.remove(&member("d", 4));
    group.connected.remove(&member("e", 5));
    group.change(0);
    expect_that!(group.change(60_000), none(), "not while another is away");
    group.connected.insert(member("e", 5));
    group.change(60_100);
    expect_that!(group.change(60_200), some(eq(&remove(member("d", 4)))));
}

#[googletest::test]
fn the_group_stays_at_seven() {
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

/// Guards against a group that reports a spare voter while its next loss stops it.
#[googletest::test]
fn a_voter_that_is_gone_leaves_no_spare_beside_a_fourth() {
    let group = Group::new(&[("a", 1), ("b", 2), ("c", 3)]);
    let mut here = group.connected.clone();
    expect_that!(GroupHealth::of(&group.members, &here).spare(), eq(1));
    here.remove(&member("c", 3));
    here.insert(member("c", 9));
    expect_that!(GroupHealth::of(&group.members, &here).spare(), eq(0));
    let group = Group::new(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    here.insert(member("d", 4));
    expect_that!(GroupHealth::of(&group.members, &here).spare(), eq(0));
    here.remove(&member("b", 2));
    expect_that!(GroupHealth::of(&group.members, &here).spare(), eq(-1));
}
