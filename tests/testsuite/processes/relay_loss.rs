//! A relay that answers, and is of no use to its hosts.

use coltsfootnotch_fakes::OrderConfig;
use googletest::prelude::*;

use super::fleet::{Fleet, Plan};

/// The control host that is the entry's relay comes back with an empty disk. It is reachable and
/// belongs to no group, so it answers every order with "no quorum" while the other two have one. The
/// entry must not stay with it for ever: orders go through again once it has turned to another
/// relay, each booked once, and none in between was run.
#[test]
fn an_entry_leaves_a_relay_that_has_no_quorum() {
    let mut fleet = Fleet::start(Plan {
        entries: 1,
        engines: vec![],
        services: vec![OrderConfig::new("member-desk-1", "member-desk")],
    });
    assert!(fleet.apply(2), "configuration 2 is accepted");
    fleet
        .caller(0)
        .book_until_made("before")
        .expect("a booking");
    fleet.controls[0].kill();
    fleet.lose_data(0);
    fleet.controls[0].start();
    fleet
        .caller(0)
        .book_until_made("after")
        .expect("a booking through another relay");
    let booked = fleet.services[0].bookings();
    assert_that!(booked.get("before"), some(eq(&1)));
    assert_that!(booked.get("after"), some(eq(&1)));
}
