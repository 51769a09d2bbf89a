//! A relay that responds but has no quorum.

use coltsfootnotch_fakes::OrderConfig;
use googletest::prelude::*;

use super::fleet::{Fleet, Plan};

/// The relay of the entry restarts without its data folder, so it refuses every order with "no
/// quorum" while the other control hosts have one. Guards against an entry that stays connected to
/// it, and against repeated bookings.
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
        .book_until_acknowledged("before")
        .expect("a booking");
    fleet.controls[0].kill();
    fleet.delete_data(0);
    fleet.controls[0].start();
    fleet
        .caller(0)
        .book_until_acknowledged("after")
        .expect("a booking through another relay");
    let booked = fleet.services[0].bookings();
    assert_that!(booked.get("before"), some(eq(&1)));
    assert_that!(booked.get("after"), some(eq(&1)));
}
