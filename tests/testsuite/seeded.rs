//! Control hosts that find each other: when a group is founded, and how its members change.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch::daemon::control::seeded::SeededHello;
use coltsfootnotch::daemon::control::seeded::founding::{SeededFounding, Seen};
use coltsfootnotch::daemon::control::seeded::members::{Away, MAX_VOTERS, next_change};
use coltsfootnotch_consensus::{DiskId, MemberChange, MemberId, Membership};
use coltsfootnotch_types::HostName;
use googletest::prelude::*;

fn member(host: &str, disk: u128) -> MemberId {
    MemberId {
        host: HostName::new(host).unwrap(),
        disk: DiskId(disk),
    }
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7400))
}

fn hello(own: u8, first_start: bool) -> SeededHello {
    SeededHello {
        address: address(own),
        first_start,
        seeds: vec![address(1), address(2), address(3)],
        keeps_log: true,
        connected: Vec::new(),
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Host {
    member: MemberId,
    empty: bool,
    hello: SeededHello,
}

fn host(own: u8) -> Host {
    Host {
        member: member(&format!("c{own}"), own.into()),
        empty: true,
        hello: hello(own, true),
    }
}

fn seen(host: &Host) -> Seen<'_> {
    Seen {
        member: &host.member,
        empty: host.empty,
        hello: &host.hello,
    }
}

/// Whether `own` founds a group with `others` in half a second.
fn founds(own: &Host, others: &[&Host]) -> Option<usize> {
    let mut founding = SeededFounding::default();
    let mut found = None;
    for ms in (0..500).step_by(50) {
        let others = others.iter().map(|h| seen(h));
        found = found.or(founding.due(at(ms), seen(own), others).map(|m| m.len()));
    }
    found
}

#[googletest::test]
fn the_lowest_seed_founds_once_all_seeds_are_there() {
    let (one, two, three) = (host(1), host(2), host(3));
    expect_that!(founds(&one, &[&two, &three]), some(eq(3)));
    expect_that!(founds(&one, &[&two]), none(), "a seed is missing");
    expect_that!(founds(&two, &[&one, &three]), none(), "not the lowest");
    let newcomer = host(4);
    expect_that!(founds(&one, &[&two, &three, &newcomer]), some(eq(3)));
}

/// Seeds may be hosts without a disk: they agree to the founding, and are no members.
#[googletest::test]
fn seeds_without_a_disk_are_no_members() {
    let (mut one, two, three) = (host(1), host(2), host(3));
    one.hello.keeps_log = false;
    expect_that!(founds(&one, &[&two, &three]), none());
    expect_that!(founds(&two, &[&one, &three]), some(eq(2)));
    expect_that!(founds(&two, &[&three]), none(), "all seeds have to agree");
}

/// The acknowledged configuration would be forgotten. Two of three control hosts lose power and the
/// third its disk; the empty one is back first, and is the lowest seed. It must not found a second
/// group, neither alone nor with an empty newcomer.
#[googletest::test]
fn a_host_that_lost_its_disk_never_founds() {
    let mut wiped = host(1);
    wiped.hello.first_start = false;
    let (two, three) = (host(2), host(3));
    expect_that!(founds(&wiped, &[]), none());
    expect_that!(founds(&wiped, &[&two, &three]), none());
}

#[googletest::test]
fn nobody_founds_beside_a_host_that_remembers() {
    let (one, mut two, three) = (host(1), host(2), host(3));
    two.empty = false;
    expect_that!(founds(&one, &[&two, &three]), none());
    let mut other_seeds = host(3);
    other_seeds.hello.seeds.pop();
    expect_that!(founds(&one, &[&host(2), &other_seeds]), none());
}

struct Group {
    members: Membership,
    connected: BTreeSet<MemberId>,
    away: Away,
}

impl Group {
    fn new(voters: &[(&str, u128)]) -> Self {
        let voters: Vec<_> = voters.iter().map(|(h, d)| member(h, *d)).collect();
        Self {
            connected: voters.iter().cloned().collect(),
            members: Membership::of(voters),
            away: Away::default(),
        }
    }

    fn change(&mut self, ms: u64) -> Option<MemberChange> {
        self.away.note(at(ms), &self.members, &self.connected);
        next_change(at(ms), &self.members, &self.connected, &self.away)
    }
}

fn three() -> Group {
    Group::new(&[("a", 1), ("b", 2), ("c", 3)])
}

/// The next loss would stop the group. A control host comes back with an empty disk: its old identity
/// counts as a voter that never answers, until the leader puts the new one in its place.
#[googletest::test]
fn a_host_with_a_new_disk_replaces_itself_at_once() {
    let mut group = three();
    group.connected.remove(&member("c", 3));
    group.connected.insert(member("c", 9));
    expect_that!(
        group.change(0),
        some(eq(&MemberChange::Add {
            member: member("c", 9),
            replaces: Some(member("c", 3)),
        }))
    );
}

#[googletest::test]
fn a_newcomer_replaces_who_is_away_and_else_joins() {
    let mut group = three();
    group.connected.insert(member("d", 4));
    expect_that!(
        group.change(0),
        some(eq(&MemberChange::Add {
            member: member("d", 4),
            replaces: None,
        }))
    );
    group.connected.remove(&member("b", 2));
    group.change(100);
    expect_that!(
        group.change(2_000),
        some(eq(&MemberChange::Add {
            member: member("d", 4),
            replaces: Some(member("b", 2)),
        }))
    );
}

#[googletest::test]
fn one_change_at_a_time() {
    let mut group = three();
    group.connected.insert(member("d", 4));
    group.connected.insert(member("e", 5));
    group.members.learners.insert(member("d", 4), None);
    expect_that!(group.change(0), none());
    group.connected.remove(&member("d", 4));
    group.change(100);
    let given_up = MemberChange::Remove {
        member: member("d", 4),
    };
    expect_that!(group.change(9_000), some(eq(&given_up)));
}

/// Two of four are cut off for a while. A leader that removed them would leave a group of two, of
/// which one loss takes the majority, though the two cut off hold everything.
#[googletest::test]
fn the_group_does_not_shrink_around_a_cut() {
    let mut group = three();
    group.connected.remove(&member("c", 3));
    group.change(0);
    expect_that!(group.change(60_000), none(), "never below three");
    let mut group = Group::new(&[("a", 1), ("b", 2), ("c", 3), ("d", 4), ("e", 5)]);
    group.connected.remove(&member("d", 4));
    group.connected.remove(&member("e", 5));
    group.change(0);
    expect_that!(group.change(60_000), none(), "not while another is away");
    group.connected.insert(member("e", 5));
    group.change(60_100);
    let gone = MemberChange::Remove {
        member: member("d", 4),
    };
    expect_that!(group.change(60_200), some(eq(&gone)));
}

#[googletest::test]
fn the_group_stays_at_seven() {
    let voters: Vec<_> = (0..MAX_VOTERS as u128)
        .map(|n| (format!("h{n}"), n))
        .collect();
    let voters: Vec<_> = voters.iter().map(|(h, d)| (h.as_str(), *d)).collect();
    let mut group = Group::new(&voters);
    group.connected.insert(member("x", 100));
    expect_that!(group.change(0), none());
}
