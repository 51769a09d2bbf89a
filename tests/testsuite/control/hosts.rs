//! What hosts hear of each other through their relays, with and without a quorum.

use coltsfootnotch_state::{ApplyConfig, Op};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromRelay, Heartbeat, ServiceBatch, ToRelay};
use googletest::prelude::*;

use super::client::{Client, manifest};
use super::group::{Group, host, wait_until};

/// Waits until the relay names `wanted`.
fn wait_for_host(client: &mut Client, wanted: &str) {
    let wanted = host(wanted);
    client.wait_for(|message| match message {
        FromRelay::Directory { changed, .. } => {
            changed.iter().any(|r| r.host == wanted).then_some(())
        }
        _ => None,
    });
}

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a name")
}

/// A report; `watched` are newly watched accounts with all that the host has reported of them.
fn service(seq: u64, served: &[(&str, u64)], watched: &[(&str, u64)]) -> ToRelay {
    let units = |(name, units): &(&str, u64)| (account(name), ServiceUnits(*units));
    ToRelay::Service(ServiceBatch {
        seq,
        served: served.iter().map(units).collect(),
        watch: watched.iter().map(units).collect(),
        unwatch: vec![],
    })
}

/// The first total of `wanted` that the relay tells from now on.
fn next_total(client: &mut Client, wanted: &str) -> ServiceUnits {
    let wanted = account(wanted);
    client.wait_for(|message| match message {
        FromRelay::Totals { elsewhere } => elsewhere
            .iter()
            .find(|(a, _)| *a == wanted)
            .map(|(_, units)| *units),
        _ => None,
    })
}

/// Two of three control hosts are lost, so there is no quorum. An entry and a sidecar at the one that
/// is left still find each other, and the sidecar's service is still counted.
#[test]
fn hosts_find_each_other_without_a_quorum() {
    let mut group = Group::started(|_| {});
    group.kill(1);
    group.kill(2);
    let mut entry = group.client(0, Role::Entry, "e1");
    let mut sidecar = group.client(0, Role::Sidecar, "s1");
    entry.beat(0);
    sidecar.beat(0);
    wait_for_host(&mut entry, "s1");
    wait_for_host(&mut sidecar, "e1");
    sidecar.send(service(1, &[("bistro", 7)], &[]));
    let applied = sidecar.wait_for(|message| match message {
        FromRelay::ServiceApplied { seq } => Some(*seq),
        _ => None,
    });
    assert_that!(applied, eq(1));
}

/// Sidecars at different relays serve one account. Each is told what the others gave and not its own
/// share; a batch that is sent again counts once.
#[test]
fn totals_are_those_of_the_other_hosts() {
    let group = Group::started(|_| {});
    let mut first = group.client(0, Role::Sidecar, "s1");
    let mut second = group.client(1, Role::Sidecar, "s2");
    first.beat(0);
    second.beat(0);
    first.send(service(1, &[("bistro", 40)], &[("bistro", 40)]));
    first.send(service(1, &[("bistro", 40)], &[("bistro", 40)]));
    second.send(service(1, &[("bistro", 2)], &[("bistro", 2)]));

    while next_total(&mut first, "bistro") != ServiceUnits(2) {}
    while next_total(&mut second, "bistro") != ServiceUnits(40) {}
}

/// The relay of a sidecar is lost after it has taken the sidecar's service. At its new relay the
/// sidecar is told what the others gave and not what it gave itself through the lost one: taken for
/// service elsewhere it would count twice, and accounts served here would have to wait for it.
#[test]
fn a_sidecar_that_turns_to_another_relay_is_not_told_its_own_service() {
    let mut group = Group::started(|_| {});
    let mut other = group.client(1, Role::Sidecar, "s2");
    other.beat(0);
    let mut sidecar = group.client(0, Role::Sidecar, "s1");
    sidecar.beat(0);
    sidecar.send(service(1, &[("bistro", 40)], &[("bistro", 40)]));
    other.send(service(1, &[("bistro", 9)], &[("bistro", 9)]));
    while next_total(&mut other, "bistro") != ServiceUnits(40) {}

    group.kill(0);
    let mut moved = group.client(1, Role::Sidecar, "s1");
    moved.beat(0);
    moved.send(service(2, &[("bistro", 1)], &[("bistro", 41)]));
    assert_that!(next_total(&mut moved, "bistro"), eq(ServiceUnits(9)));
    while next_total(&mut other, "bistro") != ServiceUnits(41) {}
}

/// A sidecar's report overtakes its first heartbeat at a new relay. The report names the account that
/// it watches only once, so it is not acknowledged until the relay knows the host, and then the total
/// of the other sidecar is told.
#[test]
fn a_report_before_the_first_heartbeat_is_asked_for_again() {
    let group = Group::started(|_| {});
    let mut other = group.client(0, Role::Sidecar, "s2");
    other.beat(0);
    other.send(service(1, &[("bistro", 9)], &[]));
    let mut sidecar = group.client(0, Role::Sidecar, "s1");
    let report = service(1, &[("bistro", 40)], &[("bistro", 40)]);
    sidecar.send(report.clone());
    sidecar.status();
    let is_ack = |message: &FromRelay| matches!(message, FromRelay::ServiceApplied { .. });
    assert_that!(sidecar.seen.iter().any(is_ack), eq(false));
    sidecar.beat(0);
    sidecar.send(report);
    while next_total(&mut sidecar, "bistro") != ServiceUnits(9) {}
}

/// A stolen key of one host sends a heartbeat in the name of another. It is refused and counted, and
/// nobody is told of the host.
#[test]
fn a_heartbeat_in_the_name_of_another_host_is_refused() {
    let group = Group::started(|_| {});
    let mut thief = group.client(0, Role::Entry, "e1");
    let mut record = thief.record(0);
    record.host = host("e2");
    thief.send(ToRelay::Heartbeat(Heartbeat {
        seq: 1,
        started: 0,
        attach: 1,
        record,
        directory: 0,
    }));
    let status = thief.status();
    let hosts = status["hosts"].as_array().expect("hosts");
    assert_that!(hosts.iter().any(|h| h["host"] == "e2"), eq(false));
}

/// An entry's key tries to put a configuration in force, and a sidecar's to write a booking. The
/// daemon closes the connection without proposing either.
#[test]
fn a_role_may_propose_only_what_is_its_own() {
    let group = Group::started(|_| {});
    let apply: ApplyConfig = manifest(1, &["bistro"]);
    let cases = [
        (Role::Entry, Op::ApplyConfig(apply)),
        (Role::Sidecar, Op::Batch(Vec::new())),
        (Role::Operator, Op::Expire),
    ];
    for (role, op) in cases {
        let mut client = group.client(0, role, "h1");
        client.begin_propose(&op);
        assert_that!(client.is_closed(), eq(true), "{role}");
    }
    let mut operator = group.client(0, Role::Operator, "op");
    assert_that!(operator.confirmed_number(), eq(0));
}

/// A control host is lost. The others report it as gone as soon as its connections are, so whoever
/// waits for a configuration to be in force everywhere does not wait for it.
#[test]
fn a_lost_control_host_is_reported_as_gone() {
    let mut group = Group::started(|_| {});
    let mut operator = group.client(0, Role::Operator, "op");
    let presence = |operator: &mut Client| {
        let status = operator.status();
        let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
        let lost = hosts.into_iter().find(|h| h["host"] == "c3");
        lost.and_then(|h| h["presence"].as_str().map(str::to_owned))
    };
    wait_until("it is present", || {
        presence(&mut operator).as_deref() == Some("present")
    });
    group.kill(2);
    wait_until("it is gone", || {
        presence(&mut operator).as_deref() == Some("gone")
    });
    operator.accept(manifest(1, &["bistro"]));
    let status = operator.status();
    let behind = status["configuration"]["behind"].as_array().cloned();
    assert_that!(behind, some(not(contains(eq(&serde_json::json!("c3"))))));
}
