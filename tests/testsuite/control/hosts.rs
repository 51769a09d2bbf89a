//! Directory and service totals that hosts receive from their relays, with and without a quorum.

use coltsfootnotch_state::{ApplyConfig, Op};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromRelay, Heartbeat, ServiceBatch, ToRelay};
use googletest::prelude::*;

use super::client::{Client, manifest};
use super::group::{Group, host, wait_until};

/// Waits until the relay lists `expected`.
fn wait_for_host(client: &mut Client, expected: &str) {
    let expected = host(expected);
    client.wait_for(|message| match message {
        FromRelay::Directory { changed, .. } => {
            changed.iter().any(|r| r.host == expected).then_some(())
        }
        _ => None,
    });
}

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a name")
}

/// A service report; `watched` are newly watched accounts with the host's total reported service.
fn service(seq: u64, served: &[(&str, u64)], watched: &[(&str, u64)]) -> ToRelay {
    let units = |(name, units): &(&str, u64)| (account(name), ServiceUnits(*units));
    ToRelay::Service(ServiceBatch {
        seq,
        served: served.iter().map(units).collect(),
        watch: watched.iter().map(units).collect(),
        unwatch: vec![],
    })
}

/// The next total of `expected` that the relay sends.
fn next_total(client: &mut Client, expected: &str) -> ServiceUnits {
    let expected = account(expected);
    client.wait_for(|message| match message {
        FromRelay::Totals { remote } => remote
            .iter()
            .find(|(a, _)| *a == expected)
            .map(|(_, units)| *units),
        _ => None,
    })
}

/// Two of three control hosts are lost, so there is no quorum. An entry and a sidecar at the remaining one
/// still discover each other, and the sidecar's service is still counted.
#[test]
fn hosts_discover_each_other_without_a_quorum() {
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

/// Sidecars at different relays serve one account. Each gets the total without its own service; a resent
/// batch counts once.
#[test]
fn totals_exclude_the_receiving_host() {
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

/// Guards against counting service twice: a sidecar's relay is lost after recording its service, and the
/// total from its new relay must still exclude that service.
#[test]
fn totals_exclude_a_sidecars_service_after_a_change_of_relay() {
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

/// A sidecar's report arrives before its first heartbeat at a new relay. It lists the watched account only
/// once, so it must not be acknowledged until the relay has a heartbeat of the host.
#[test]
fn a_report_before_the_first_heartbeat_is_not_acknowledged() {
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

/// A stolen key of one host is used for a heartbeat in the name of another, which is refused and not
/// listed.
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

/// Proposals that a role is not permitted to make close the connection and are not proposed.
#[test]
fn a_role_can_propose_only_its_permitted_operations() {
    let group = Group::started(|_| {});
    let apply: ApplyConfig = manifest(1, &["bistro"]);
    let cases = [
        (Role::Entry, Op::ApplyConfig(apply)),
        (Role::Sidecar, Op::Batch(Vec::new())),
        (Role::Operator, Op::Expire),
    ];
    for (role, op) in cases {
        let mut client = group.client(0, role, "h1");
        client.start_propose(&op);
        assert_that!(client.is_closed(), eq(true), "{role}");
    }
    let mut operator = group.client(0, Role::Operator, "op");
    assert_that!(operator.confirmed_number(), eq(0));
}

/// A lost control host is reported as gone when its connections close, and doesn't count as behind the
/// newest configuration.
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
