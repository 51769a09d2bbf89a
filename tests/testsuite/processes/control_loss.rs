//! Control hosts that are killed and paused while configurations are applied and bookings made.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

use coltsfootnotch_fakes::{EngineConfig, OrderConfig};
use googletest::prelude::*;
use serde_json::Value;

use super::caller::Caller;
use super::configuration_log::assert_never_reverted;
use super::daemon::{Signal, wait_until};
use super::fleet::{Fleet, Plan, apply, manifest};

/// Number of concurrent bookings.
const CONCURRENT_BOOKINGS: usize = 6;
/// Time between two applies, which limits the size of the log of a failed test.
const APPLY_INTERVAL: Duration = Duration::from_millis(20);

/// Acknowledged configurations and bookings.
struct Acknowledged {
    /// Highest number of an accepted configuration.
    configurations: u64,
    /// Response bodies by idempotency key.
    bookings: BTreeMap<String, Value>,
}

/// Kills the leader, restarts it, kills a second control host, and then pauses the leader, all
/// while configurations are applied and bookings made. Guards against lost or reverted
/// configurations and against lost or repeated bookings.
#[test]
fn nothing_acknowledged_is_lost_when_control_hosts_fail() {
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

    let pause_leader = |fleet: &mut Fleet| {
        let leader = fleet.leader();
        fleet.controls[leader].signal(Signal::Stop);
        leader
    };
    let next = second.1.configurations + 1;
    let third = under_load(&mut fleet, next, "third", pause_leader);
    fleet.controls[third.0].signal(Signal::Continue);
    fleet.wait_caught_up(third.0, third.1.configurations);

    let bookings = [first.1, second.1, third.1];
    assert_nothing_lost(&fleet, &bookings);
}

/// Runs `inject_fault`, which returns the failed host, while configurations are applied and
/// bookings made. Continues until the group has accepted more of both without that host.
fn under_load(
    fleet: &mut Fleet,
    next: u64,
    round: &str,
    inject_fault: impl FnOnce(&mut Fleet) -> usize,
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
                thread::sleep(APPLY_INTERVAL);
            }
        });
        let bookers = start_bookers(scope, &callers, round, &ended, &booked);
        let wait_for_progress = |what: &str, more: u64| {
            let (a, b) = (
                accepted.load(Ordering::Relaxed),
                booked.load(Ordering::Relaxed),
            );
            wait_until(what, || {
                accepted.load(Ordering::Relaxed) >= a + more
                    && booked.load(Ordering::Relaxed) >= b + more
            });
        };
        wait_for_progress("load has started", 10);
        let host = inject_fault(fleet);
        wait_for_progress("the group accepts more without the host", 30);
        ended.store(true, Ordering::Relaxed);
        applier.join().expect("the thread of the operator finishes");
        let booked = bookers
            .into_iter()
            .flat_map(|booker| booker.join().expect("a booking thread finishes"));
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
            let body = caller.book_until_acknowledged(&key);
            made.push((key, body.expect("a booking is acknowledged in time")));
            booked.fetch_add(1, Ordering::Relaxed);
        }
        made
    };
    (0..CONCURRENT_BOOKINGS)
        .map(|booker| scope.spawn(move || book(booker)))
        .collect()
}

fn assert_nothing_lost(fleet: &Fleet, rounds: &[Acknowledged]) {
    let last = rounds.iter().map(|round| round.configurations).max();
    let last = last.expect("there is a round");
    for number in 1..=last {
        assert!(
            fleet.apply(number),
            "configuration {number} is still accepted"
        );
    }
    wait_until("every host has the last configuration", || {
        let answers = fleet.status();
        let in_force = coltsfootnotch::ops::fleet_status::config_by_host(&answers);
        in_force.len() == fleet.daemons().count() && in_force.values().all(|number| *number == last)
    });
    let hosts = fleet.entries.iter().chain(&fleet.sidecars);
    assert_never_reverted(hosts);
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
        let again = fleet.caller(1).book_until_acknowledged(key);
        assert_that!(again.as_ref(), some(eq(body)), "repeated request");
    }
    println!(
        "{last} configurations and {} bookings were acknowledged",
        counted.len()
    );
}

/// Kills two of three control hosts. Without a majority orders are refused as not run, no manifest
/// is accepted and a restarted entry is not ready, while rereads and completions still succeed.
/// With the majority back, everything recovers.
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
        .book_until_acknowledged("before")
        .expect("a booking");
    for control in &mut fleet.controls[..2] {
        control.kill();
    }
    for number in 0..3 {
        let started = Instant::now();
        let (status, body) = fleet.caller(number % 2).book(&format!("during-{number}"));
        println!("refused after {:?}", started.elapsed());
        assert_that!(status, eq(503));
        assert_that!(body["error"]["run"].as_str(), some(eq("no")), "{body}");
    }
    let refused = fleet.operator.apply(&manifest(3), Duration::from_secs(3));
    assert!(refused.is_err(), "accepted without a majority: {refused:?}");
    assert_that!(fleet.caller(0).complete("still there?", 2).0, eq(200));
    assert_that!(fleet.caller(1).reread("before"), eq(&(200, made.clone())));
    fleet.entries[1].kill();
    fleet.entries[1].start();
    wait_until("the entry is healthy", || fleet.is_healthy(1));
    std::thread::sleep(Duration::from_secs(2));
    assert!(!fleet.is_ready(1), "ready without the newest configuration");

    for control in &mut fleet.controls[..2] {
        control.start();
    }
    wait_until("the entry is ready", || fleet.is_ready(1));
    assert!(fleet.apply(3), "configuration 3 is accepted");
    assert_that!(
        fleet.caller(1).book_until_acknowledged("before"),
        some(eq(&made))
    );
    for number in 0..3 {
        let key = format!("during-{number}");
        assert!(
            fleet.caller(1).book_until_acknowledged(&key).is_some(),
            "{key} is acknowledged"
        );
    }
    let bookings = fleet.services[0].bookings();
    assert!(bookings.values().all(|times| *times == 1), "{bookings:?}");
    assert_that!(bookings.len(), eq(4));
    assert_never_reverted(fleet.entries.iter().chain(&fleet.sidecars));
}
