//! Processes that connect to the fleet's listeners of each daemon: strangers, and hosts that have keys of the fleet.

use coltsfootnotch_types::prelude::*;

use super::crowded_fleet::CrowdedFleet;
use super::peers::{PeerCrowd, foreign_key, hello, status_requests, unfinished_frame};

const ROLES: [Role; 3] = [Role::Control, Role::Entry, Role::Sidecar];

/// Guards against daemons that end for lack of memory: handshakes of strangers that stop short of their end.
#[googletest::test]
fn handshakes_that_do_not_end() {
    let crowded = CrowdedFleet::start();
    let key = foreign_key(Role::Entry);
    let _crowds =
        ROLES.map(|role| PeerCrowd::begin_handshakes(crowded.fleet_address(role), 2_000, &key));
    crowded.expect_alive_within_limits();
}

/// Guards against the same by strangers whose keys the fleet has not issued.
#[googletest::test]
fn peers_with_foreign_keys() {
    let crowded = CrowdedFleet::start();
    let key = foreign_key(Role::Entry);
    let _crowds = ROLES.map(|role| {
        PeerCrowd::send(crowded.fleet_address(role), 200, &key, 1, |_| {
            unfinished_frame()
        })
    });
    crowded.expect_alive_within_limits();
}

/// Guards against the same by the first frames of hosts of the fleet that stop short of their end.
#[googletest::test]
fn first_frames_that_do_not_end() {
    let crowded = CrowdedFleet::start();
    let key = crowded.issued_key("entry-1");
    let _crowds = ROLES.map(|role| {
        PeerCrowd::send(crowded.fleet_address(role), 20, &key, 1, |_| {
            unfinished_frame()
        })
    });
    crowded.expect_alive_within_limits();
}

/// Guards against a sidecar that ends for lack of memory: requests to it that stop short of their end.
#[googletest::test]
fn requests_to_a_sidecar_that_do_not_end() {
    let crowded = CrowdedFleet::start();
    let key = crowded.issued_key("entry-1");
    let address = crowded.fleet_address(Role::Sidecar);
    // The first stream is that of messages, the others are each that of a request.
    let _crowd = PeerCrowd::send_first(address, 1, &key, &hello(), 60, |_| unfinished_frame());
    crowded.expect_alive_within_limits();
}

/// Guards against a control host that ends for lack of memory: hosts that do not read what they request.
#[googletest::test]
fn responses_that_are_not_read() {
    let crowded = CrowdedFleet::start();
    let key = crowded.issued_key("operator");
    let address = crowded.fleet_address(Role::Control);
    let _crowd = PeerCrowd::send(address, 20, &key, 1, |_| {
        [hello(), status_requests(4_000)].concat()
    });
    crowded.expect_alive_within_limits();
}
