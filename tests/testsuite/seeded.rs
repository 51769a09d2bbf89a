//! Control hosts that find each other: when a group is founded, and how its members change.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch::daemon::control::founding::Founding;
use coltsfootnotch::daemon::control::group_health::GroupHealth;
use coltsfootnotch::daemon::control::packet::MemberHello;
use coltsfootnotch::daemon::control::seeded::founding::{NotFounding, SeededFounding, Seen};
use coltsfootnotch::daemon::control::seeded::members::{GroupView, MAX_VOTERS};
use coltsfootnotch::daemon::control::seeded::{Contact, SeededHello};
use coltsfootnotch_consensus::{
    Core, CoreConfig, DiskId, MemberChange, MemberId, Membership, PeerStatus, Recovered,
};
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

/// How many voters the group has that `own` founds with `others` in half a second, or why it founds none.
fn founds(own: &Host, others: &[&Host]) -> Result<usize, NotFounding> {
    let mut founding = SeededFounding::default();
    let mut found = Err(NotFounding::Settling);
    for ms in (0..500).step_by(50) {
        let others = others.iter().map(|h| seen(h));
        let due = founding.due(at(ms), seen(own), others);
        found = found.or(due.map(|m| m.voters.len()));
    }
    found
}

#[googletest::test]
fn the_first_member_founds_once_all_seeds_are_there() {
    let (one, two, three) = (host(1), host(2), host(3));
    expect_that!(founds(&one, &[&two, &three]), ok(eq(&3)));
    let missing = NotFounding::NotHeard(address(3));
    expect_that!(founds(&one, &[&two]), err(eq(&missing)));
    let other = NotFounding::OtherFounder(one.member.clone());
    expect_that!(founds(&two, &[&one, &three]), err(eq(&other)));
    let newcomer = host(4);
    expect_that!(founds(&one, &[&two, &three, &newcomer]), ok(eq(&3)));
}

/// No request is ever served: no configuration is accepted, since there is no group. The host with the
/// lowest address asked the log to found it, and the log takes only the first member by name, which
/// waited for the other. Whatever order names and addresses are in, exactly one host founds, and its log
/// takes the same one for the founder.
#[googletest::test]
fn one_host_founds_however_names_and_addresses_are_ordered() {
    for count in 3..=5 {
        for names in permutations(count) {
            let seeds: Vec<_> = (1..=count).map(address).collect();
            let hosts = names.iter().zip(1..).map(|(name, own)| {
                let mut host = host(own);
                host.member = member(&format!("c{name}"), u128::from(own));
                host.hello.seeds.clone_from(&seeds);
                host
            });
            let hosts: Vec<_> = hosts.collect();
            let founders = hosts.iter().filter(|own| {
                let others: Vec<_> = hosts.iter().filter(|h| h.member != own.member).collect();
                founds(own, &others).is_ok() && log_takes_founder(own, &hosts)
            });
            expect_that!(founders.count(), eq(1), "names {names:?}");
        }
    }
}

fn log_takes_founder(own: &Host, hosts: &[Host]) -> bool {
    let recovered = Recovered::empty(own.member.clone());
    let cfg = CoreConfig::default();
    let mut core = Core::new(cfg, recovered, at(0), &mut rand::rng());
    let members = hosts.iter().map(|h| h.member.clone());
    core.found(at(0), members).is_ok()
}

fn permutations(count: u8) -> Vec<Vec<u8>> {
    let mut all = vec![Vec::new()];
    for next in 0..count {
        let longer = |p: &Vec<u8>| {
            let p = p.clone();
            (0..=p.len()).map(move |place| {
                let mut longer = p.clone();
                longer.insert(place, next);
                longer
            })
        };
        all = all.iter().flat_map(longer).collect();
    }
    all
}

/// Seeds may be hosts without a disk: they agree to the founding, and are no members.
#[googletest::test]
fn seeds_without_a_disk_are_no_members() {
    let (mut one, two, three) = (host(1), host(2), host(3));
    one.hello.keeps_log = false;
    expect_that!(founds(&one, &[&two, &three]), err(anything()));
    expect_that!(founds(&two, &[&one, &three]), ok(eq(&2)));
    expect_that!(
        founds(&two, &[&three]),
        err(anything()),
        "all seeds have to agree"
    );
}

/// A host that finds the others by seeds has no list of control hosts. Taken for a list of which all
/// members are here, the empty list made each of them found a group of its own, and one without a disk
/// stopped at the first write.
#[googletest::test]
fn a_host_that_is_not_listed_founds_no_group_by_the_list() {
    let hello = MemberHello {
        member: member("c1", 1),
        listed: Vec::new(),
        empty: true,
        seeded: None,
    };
    let mut founding = Founding::new(hello);
    for ms in (0..2_000).step_by(50) {
        expect_that!(founding.due(at(ms), false), none());
    }
}

/// The acknowledged configuration would be forgotten. Two of three control hosts lose power and the
/// third its disk; the empty one is back first, and is the first member. It must not found a second
/// group, neither alone nor with an empty newcomer.
#[googletest::test]
fn a_host_that_lost_its_disk_never_founds() {
    let mut wiped = host(1);
    wiped.hello.first_start = false;
    let (two, three) = (host(2), host(3));
    expect_that!(founds(&wiped, &[]), err(anything()));
    let joins = NotFounding::NotFirstStart(address(1));
    expect_that!(founds(&wiped, &[&two, &three]), err(eq(&joins)));
}

#[googletest::test]
fn nobody_founds_beside_a_host_that_remembers() {
    let (one, mut two, three) = (host(1), host(2), host(3));
    two.empty = false;
    let remembers = NotFounding::NotEmpty(address(2));
    expect_that!(founds(&one, &[&two, &three]), err(eq(&remembers)));
    let mut other_seeds = host(3);
    other_seeds.hello.seeds.pop();
    let others = NotFounding::OtherSeeds(address(3));
    expect_that!(founds(&one, &[&host(2), &other_seeds]), err(eq(&others)));
}

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
