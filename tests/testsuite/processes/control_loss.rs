//! Control hosts that are killed and frozen while configurations are applied and orders booked.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

use coltsfootnotch_fakes::{EngineConfig, OrderConfig};
use googletest::prelude::*;
use serde_json::Value;

use super::caller::Caller;
use super::configuration_log::assert_never_back;
use super::daemon::{Signal, wait_until};
use super::fleet::{Fleet, Plan, apply, manifest};

/// Bookings that are under way at once.
const BOOKERS: usize = 6;
/// Time between two applies, so that thousands of them don't bury the log of a failed test.
const BETWEEN_APPLIES: Duration = Duration::from_millis(20);

/// What was acknowledged.
struct Acknowledged {
    configurations: u64,
    bookings: BTreeMap<String, Value>,
}

/// The leader of the control group is killed while an operator applies and members book; it comes
/// back with its data folder, and right after that a second control host is killed, and a third time
/// the new leader is frozen for some seconds, as a virtual machine is when it moves. Whatever was
/// acknowledged stays: every configuration is still known, no host ever had an older one in force
/// after a newer, and the order service has every booking exactly once.
#[test]
fn nothing_acknowledged_is_lost_when_control_hosts_die() {
    let mut fleet = Fleet::start(Plan {
        entries: 2,
        engines: vec![],
        services: vec![
            OrderConfig::new("member-desk-1", "member-desk"),
            OrderConfig::new("member-desk-2", "member-desk"),
        ],
    });
    let kill_leader = |fleet: &mut Fleet| {
        let leader = fleet.leader();
        fleet.controls[leader].kill();
        leader
    };
    let first = under_load(&mut fleet, 2, "first", kill_leader);
    let leader = first.0;
    fleet.controls[leader].start();
    fleet.wait_caught_up(leader, first.1.configurations);

    let kill_second = |fleet: &mut Fleet| {
        let second = (leader + 1) % 3;
        fleet.controls[second].kill();
        second
    };
    let next = first.1.configurations + 1;
    let second = under_load(&mut fleet, next, "second", kill_second);
    fleet.controls[second.0].start();
    fleet.wait_caught_up(second.0, second.1.configurations);

    let freeze = |fleet: &mut Fleet| {
        let leader = fleet.leader();
        fleet.controls[leader].signal(Signal::Stop);
        leader
    };
    let next = second.1.configurations + 1;
    let third = under_load(&mut fleet, next, "third", freeze);
    fleet.controls[third.0].signal(Signal::Continue);
    fleet.wait_caught_up(third.0, third.1.configurations);

    let bookings = [first.1, second.1, third.1];
    check(&fleet, &bookings);
}

/// Applies and books, lets `disturb` do its work in the middle of it, and goes on until the group
/// has accepted and booked for a while without the host that was lost.
fn under_load(
    fleet: &mut Fleet,
    next: u64,
    round: &str,
    disturb: impl FnOnce(&mut Fleet) -> usize,
) -> (usize, Acknowledged) {
    let ended = AtomicBool::new(false);
    let accepted = AtomicU64::new(next - 1);
    let booked = AtomicU64::new(0);
    let callers = [fleet.caller(0), fleet.caller(1)];
    let operator = fleet.another_operator();
    thread::scope(|scope| {
        let applier = scope.spawn(|| {
            let mut number = next;
            while !ended.load(Ordering::Relaxed) {
                assert!(
                    apply(&operator, &manifest(number)),
                    "configuration {number} is accepted"
                );
                accepted.store(number, Ordering::Relaxed);
                number += 1;
                thread::sleep(BETWEEN_APPLIES);
            }
        });
        let bookers = start_bookers(scope, &callers, round, &ended, &booked);
        let wait_for = |what: &str, more: u64| {
            let (a, b) = (
                accepted.load(Ordering::Relaxed),
                booked.load(Ordering::Relaxed),
            );
            wait_until(what, || {
                accepted.load(Ordering::Relaxed) >= a + more
                    && booked.load(Ordering::Relaxed) >= b + more
            });
        };
        wait_for("there is load", 10);
        let host = disturb(fleet);
        wait_for("the group goes on", 30);
        ended.store(true, Ordering::Relaxed);
        applier.join().expect("the operator's thread");
        let booked = bookers
            .into_iter()
            .flat_map(|booker| booker.join().expect("a member's thread"));
        let acknowledged = Acknowledged {
            bookings: booked.collect(),
            configurations: accepted.load(Ordering::Relaxed),
        };
        (host, acknowledged)
    })
}

fn start_bookers<'s>(
    scope: &'s Scope<'s, '_>,
    callers: &'s [Caller; 2],
    round: &'s str,
    ended: &'s AtomicBool,
    booked: &'s AtomicU64,
) -> Vec<ScopedJoinHandle<'s, Vec<(String, Value)>>> {
    let book = move |booker: usize| {
        let mut made = Vec::new();
        while !ended.load(Ordering::Relaxed) {
            let key = format!("{round}-{booker}-{}", made.len());
            let caller = &callers[made.len() % callers.len()];
            let body = caller.book_until_made(&key);
            made.push((key, body.expect("a booking is made in time")));
            booked.fetch_add(1, Ordering::Relaxed);
        }
        made
    };
    (0..BOOKERS)
        .map(|booker| scope.spawn(move || book(booker)))
        .collect()
}

fn check(fleet: &Fleet, rounds: &[Acknowledged]) {
    let last = rounds.iter().map(|round| round.configurations).max();
    let last = last.expect("a round");
    for number in 1..=last {
        assert!(
            fleet.apply(number),
            "configuration {number} is still accepted"
        );
    }
    wait_until("every host has the last configuration", || {
        let answers = fleet.status();
        let known = coltsfootnotch::ops::fleet_status::config_by_host(&answers);
        known.len() == fleet.daemons().count() && known.values().all(|number| *number == last)
    });
    let hosts = fleet.entries.iter().chain(&fleet.sidecars);
    assert_never_back(hosts);
    let mut counted = BTreeMap::new();
    for service in &fleet.services {
        for (key, times) in service.bookings() {
            *counted.entry(key).or_insert(0) += times;
        }
    }
    let acknowledged = rounds.iter().flat_map(|round| &round.bookings);
    for (key, body) in acknowledged.clone() {
        assert_that!(counted.get(key), some(eq(&1)), "{key}");
        assert_that!(body["key"].as_str(), some(eq(key.as_str())));
    }
    assert!(counted.values().all(|times| *times == 1), "{counted:?}");
    assert_that!(counted.len(), eq(acknowledged.count()));
    for (key, body) in rounds
        .iter()
        .filter_map(|round| round.bookings.first_key_value())
    {
        let again = fleet.caller(1).book_until_made(key);
        assert_that!(again.as_ref(), some(eq(body)), "sent again");
    }
    println!(
        "{last} configurations and {} bookings were acknowledged",
        counted.len()
    );
}

/// Two of the three control hosts are lost at once. Nothing can be recorded, so an order is refused
/// as not run and a manifest is not accepted, while rereadings and completions go on. An entry that
/// restarts meanwhile takes no requests: it can't know the newest configuration. Once a majority is
/// back everything goes on, and the entry has the configuration that it had.
#[test]
fn without_a_majority_orders_are_refused_as_not_run() {
    let mut fleet = Fleet::start(Plan {
        entries: 2,
        engines: vec![EngineConfig::new("spec-llm-1", "spec-llm")],
        services: vec![OrderConfig::new("member-desk-1", "member-desk")],
    });
    assert!(fleet.apply(2), "configuration 2 is accepted");
    let made = fleet
        .caller(0)
        .book_until_made("before")
        .expect("a booking");
    for control in &mut fleet.controls[..2] {
        control.kill();
    }
    for number in 0..3 {
        let asked = Instant::now();
        let (status, body) = fleet.caller(number % 2).book(&format!("during-{number}"));
        println!("refused after {:?}", asked.elapsed());
        assert_that!(status, eq(503));
        assert_that!(body["error"]["run"].as_str(), some(eq("no")), "{body}");
    }
    let refused = fleet.operator.apply(&manifest(3), Duration::from_secs(3));
    assert!(refused.is_err(), "accepted without a majority: {refused:?}");
    assert_that!(fleet.caller(0).complete("still there?", 2).0, eq(200));
    assert_that!(fleet.caller(1).reread("before"), eq(&(200, made.clone())));
    fleet.entries[1].kill();
    fleet.entries[1].start();
    wait_until("the entry is back", || fleet.is_healthy(1));
    std::thread::sleep(Duration::from_secs(2));
    assert!(!fleet.is_ready(1), "ready without the newest configuration");

    for control in &mut fleet.controls[..2] {
        control.start();
    }
    wait_until("the entry is ready", || fleet.is_ready(1));
    assert!(fleet.apply(3), "configuration 3 is accepted");
    assert_that!(fleet.caller(1).book_until_made("before"), some(eq(&made)));
    for number in 0..3 {
        let key = format!("during-{number}");
        assert!(
            fleet.caller(1).book_until_made(&key).is_some(),
            "{key} is made"
        );
    }
    let bookings = fleet.services[0].bookings();
    assert!(bookings.values().all(|times| *times == 1), "{bookings:?}");
    assert_that!(bookings.len(), eq(4));
    assert_never_back(fleet.entries.iter().chain(&fleet.sidecars));
}
