//! Control hosts that find each other: when a group is founded.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch::daemon::control::founding::Founding;
use coltsfootnotch::daemon::control::packet::MemberHello;
use coltsfootnotch::daemon::control::seeded::SeededHello;
use coltsfootnotch::daemon::control::seeded::founding::{NotFounding, SeededFounding, Seen};
use coltsfootnotch_consensus::{Core, CoreConfig, DiskId, MemberId, Recovered};
use coltsfootnotch_types::HostName;
use googletest::prelude::*;

pub(crate) fn member(host: &str, disk: u128) -> MemberId {
    MemberId {
        host: HostName::new(host).unwrap(),
        disk: DiskId(disk),
    }
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7400))
}

pub(crate) fn hello(own: u8, first_start: bool) -> SeededHello {
    SeededHello {
        address: address(own),
        first_start,
        seeds: vec![address(1), address(2), address(3)],
        keeps_log: true,
        connected: Vec::new(),
    }
}

pub(crate) fn at(ms: u64) -> Duration {
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
    core.bootstrap(at(0), members).is_ok()
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
