//! Bootstrap of a control group by hosts that discover each other.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch::daemon::control::bootstrap::Bootstrap;
use coltsfootnotch::daemon::control::packet::MemberHello;
use coltsfootnotch::daemon::control::seeded::SeededHello;
use coltsfootnotch::daemon::control::seeded::bootstrap::{
    BootstrapBlocked, ObservedHost, SeededBootstrap,
};
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

pub(crate) fn hello(local: u8, first_start: bool) -> SeededHello {
    SeededHello {
        address: address(local),
        first_start,
        seeds: vec![address(1), address(2), address(3)],
        has_log: true,
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

fn host(local: u8) -> Host {
    Host {
        member: member(&format!("c{local}"), local.into()),
        empty: true,
        hello: hello(local, true),
    }
}

fn observed(host: &Host) -> ObservedHost<'_> {
    ObservedHost {
        member: &host.member,
        empty: host.empty,
        hello: &host.hello,
    }
}

/// Number of voters of the group that `local` bootstraps with `others` within half a second, or why it
/// doesn't.
fn bootstraps(local: &Host, others: &[&Host]) -> Result<usize, BootstrapBlocked> {
    let mut bootstrap = SeededBootstrap::default();
    let mut result = Err(BootstrapBlocked::TooRecent);
    for ms in (0..500).step_by(50) {
        let others = others.iter().map(|h| observed(h));
        let due = bootstrap.due(at(ms), observed(local), others);
        result = result.or(due.map(|m| m.voters.len()));
    }
    result
}

#[googletest::test]
fn the_first_member_bootstraps_after_all_seeds_have_connected() {
    let (one, two, three) = (host(1), host(2), host(3));
    expect_that!(bootstraps(&one, &[&two, &three]), ok(eq(&3)));
    let missing = BootstrapBlocked::NotConnected(address(3));
    expect_that!(bootstraps(&one, &[&two]), err(eq(&missing)));
    let other = BootstrapBlocked::OtherMember(one.member.clone());
    expect_that!(bootstraps(&two, &[&one, &three]), err(eq(&other)));
    let new_member = host(4);
    expect_that!(bootstraps(&one, &[&two, &three, &new_member]), ok(eq(&3)));
}

/// Guards against fleets without a group: if discovery and the log order hosts differently, each waits for
/// another bootstrap member. For every order of names and addresses exactly one host bootstraps, and its
/// log accepts it.
#[googletest::test]
fn one_host_bootstraps_for_every_order_of_names_and_addresses() {
    for count in 3..=5 {
        for names in permutations(count) {
            let seeds: Vec<_> = (1..=count).map(address).collect();
            let hosts = names.iter().zip(1..).map(|(name, local)| {
                let mut host = host(local);
                host.member = member(&format!("c{name}"), u128::from(local));
                host.hello.seeds.clone_from(&seeds);
                host
            });
            let hosts: Vec<_> = hosts.collect();
            let bootstrap_members = hosts.iter().filter(|local| {
                let others: Vec<_> = hosts.iter().filter(|h| h.member != local.member).collect();
                bootstraps(local, &others).is_ok() && log_accepts_bootstrap(local, &hosts)
            });
            expect_that!(bootstrap_members.count(), eq(1), "names {names:?}");
        }
    }
}

fn log_accepts_bootstrap(local: &Host, hosts: &[Host]) -> bool {
    let recovered = Recovered::empty(local.member.clone());
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

/// Seeds without a disk have to agree to the bootstrap, but are not members.
#[googletest::test]
fn seeds_without_a_disk_are_not_members() {
    let (mut one, two, three) = (host(1), host(2), host(3));
    one.hello.has_log = false;
    expect_that!(bootstraps(&one, &[&two, &three]), err(anything()));
    expect_that!(bootstraps(&two, &[&one, &three]), ok(eq(&2)));
    expect_that!(
        bootstraps(&two, &[&three]),
        err(anything()),
        "all seeds have to agree"
    );
}

/// Guards against a host with seeds that treats its empty list of control hosts as complete and
/// bootstraps a group of its own.
#[googletest::test]
fn a_host_that_is_not_listed_bootstraps_no_listed_group() {
    let hello = MemberHello {
        member: member("c1", 1),
        listed: Vec::new(),
        empty: true,
        seeded: None,
    };
    let mut bootstrap = Bootstrap::new(hello);
    for ms in (0..2_000).step_by(50) {
        expect_that!(bootstrap.due(at(ms), false), none());
    }
}

/// Guards against the loss of acknowledged configurations: two of three control hosts lose power and the
/// third its disk. The empty one returns first and must not bootstrap a second group.
#[googletest::test]
fn a_host_that_lost_its_disk_never_bootstraps() {
    let mut wiped = host(1);
    wiped.hello.first_start = false;
    let (two, three) = (host(2), host(3));
    expect_that!(bootstraps(&wiped, &[]), err(anything()));
    let joins = BootstrapBlocked::NotFirstStart(address(1));
    expect_that!(bootstraps(&wiped, &[&two, &three]), err(eq(&joins)));
}

#[googletest::test]
fn no_host_bootstraps_beside_a_non_empty_or_disagreeing_seed() {
    let (one, mut two, three) = (host(1), host(2), host(3));
    two.empty = false;
    let not_empty = BootstrapBlocked::NotEmpty(address(2));
    expect_that!(bootstraps(&one, &[&two, &three]), err(eq(&not_empty)));
    let mut other_seeds = host(3);
    other_seeds.hello.seeds.pop();
    let others = BootstrapBlocked::OtherSeeds(address(3));
    expect_that!(
        bootstraps(&one, &[&host(2), &other_seeds]),
        err(eq(&others))
    );
}
