//! Replacement of a control host that has lost its disk.

use coltsfootnotch_fakes::OrderConfig;
use googletest::prelude::*;
use serde_json::Value;

use super::daemon::wait_until;
use super::fleet::{Fleet, Plan};

/// The leader restarts without its data folder, the operator replaces its member, and a second host
/// is killed. Guards against a replacement that is not counted as a voter, and against lost
/// configurations or bookings. Removing an unknown member fails with exit code 3.
#[test]
fn a_group_survives_the_loss_of_a_second_host_after_a_replacement() {
    let mut fleet = Fleet::start(Plan {
        entries: 1,
        engines: vec![],
        services: vec![OrderConfig::new("member-desk-1", "member-desk")],
    });
    assert!(fleet.apply(2), "configuration 2 is accepted");
    let made = fleet
        .caller(0)
        .book_until_acknowledged("before")
        .expect("a booking");
    let lost = fleet.leader();
    let host = fleet.controls[lost].host.clone();
    fleet.controls[lost].kill();
    fleet.delete_data(lost);
    fleet.controls[lost].start();

    wait_until("the member is replaced", || {
        fleet
            .run_command(&["member", "replace", &host])
            .status
            .code()
            == Some(0)
    });
    wait_until("the new member is a voter", || has_three_voters(&fleet));
    let unknown = fleet.run_command(&["member", "remove", "nobody"]);
    assert_that!(unknown.status.code(), some(eq(3)));

    let second = (lost + 1) % 3;
    fleet.controls[second].kill();
    assert!(fleet.apply(2), "configuration 2 is still accepted");
    assert!(fleet.apply(3), "configuration 3 is accepted");
    assert_that!(
        fleet.caller(0).book_until_acknowledged("before"),
        some(eq(&made))
    );
    assert!(fleet.caller(0).book_until_acknowledged("after").is_some());
    let bookings = fleet.services[0].bookings();
    assert_that!(bookings.values().copied().collect::<Vec<_>>(), eq(&[1, 1]));
}

fn has_three_voters(fleet: &Fleet) -> bool {
    let output = fleet.run_command(&["status", "--json"]);
    let Ok(status) = serde_json::from_slice::<Value>(&output.stdout) else {
        return false;
    };
    let group = &status["fleet"]["group"];
    group["voters"].as_array().map(Vec::len) == Some(3)
        && group["learners"].as_array().map(Vec::len) == Some(0)
}
