//! A control host that comes back without its disk.

use coltsfootnotch_fakes::OrderConfig;
use googletest::prelude::*;
use serde_json::Value;

use super::daemon::wait_until;
use super::fleet::{Fleet, Plan};

/// A control host dies and its disk with it. It comes back empty, an operator replaces its member by
/// one command, and right after the repair a second host is lost. The group still has a majority: what
/// was accepted and booked before is known, and new changes and orders are taken. A host that is no
/// member can't be removed, and the operator's pipeline sees that by the exit code.
#[test]
fn a_second_host_is_lost_right_after_a_repair() {
    let mut fleet = Fleet::start(Plan {
        entries: 1,
        engines: vec![],
        services: vec![OrderConfig::new("member-desk-1", "member-desk")],
    });
    assert!(fleet.apply(2), "configuration 2 is accepted");
    let made = fleet
        .caller(0)
        .book_until_made("before")
        .expect("a booking");
    let lost = fleet.leader();
    let host = fleet.controls[lost].host.clone();
    fleet.controls[lost].kill();
    fleet.lose_data(lost);
    fleet.controls[lost].start();

    wait_until("the newcomer is admitted", || {
        fleet.command(&["member", "replace", &host]).status.code() == Some(0)
    });
    wait_until("the newcomer counts", || has_three_voters(&fleet));
    let unknown = fleet.command(&["member", "remove", "nobody"]);
    assert_that!(unknown.status.code(), some(eq(3)));

    let second = (lost + 1) % 3;
    fleet.controls[second].kill();
    assert!(fleet.apply(2), "configuration 2 is still accepted");
    assert!(fleet.apply(3), "configuration 3 is accepted");
    assert_that!(fleet.caller(0).book_until_made("before"), some(eq(&made)));
    assert!(fleet.caller(0).book_until_made("after").is_some());
    let bookings = fleet.services[0].bookings();
    assert_that!(bookings.values().copied().collect::<Vec<_>>(), eq(&[1, 1]));
}

fn has_three_voters(fleet: &Fleet) -> bool {
    let output = fleet.command(&["status", "--json"]);
    let Ok(status) = serde_json::from_slice::<Value>(&output.stdout) else {
        return false;
    };
    let group = &status["fleet"]["group"];
    group["voters"].as_array().map(Vec::len) == Some(3)
        && group["learners"].as_array().map(Vec::len) == Some(0)
}
