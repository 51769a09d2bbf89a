//! Which control host entries follow.

use coltsfootnotch_forward::follow::Following;
use googletest::prelude::*;

/// A seventh of the requests is late on a calm day: two entries fill the same engine. They connected to
/// the control hosts in different orders, the first by name keeps no log, and each of them went on to the
/// connection after it instead of the next host by name, so they followed different hosts.
#[googletest::test]
fn entries_follow_the_same_host_whatever_order_they_connect_in() {
    let orders = [
        ["a", "b", "c"],
        ["c", "a", "b"],
        ["b", "c", "a"],
        ["a", "c", "b"],
    ];
    for order in orders {
        let mut following = Following::default();
        for (link, host) in order.iter().enumerate() {
            following.up(host, link);
        }
        let without_log = order.iter().position(|host| *host == "a").unwrap();
        following.drop_link(without_log);
        let followed = following.followed().map(|link| order[link]);
        expect_that!(followed, some(eq("b")), "connected in order {order:?}");
    }
}

#[googletest::test]
fn a_silent_host_is_left_for_the_next_and_the_last_for_the_first() {
    let mut following = Following::default();
    for (link, host) in ["c", "a", "b"].iter().enumerate() {
        following.up(host, link);
    }
    let mut followed = Vec::new();
    for _ in 0..4 {
        followed.push(following.followed().unwrap());
        following.unanswered();
    }
    expect_that!(followed, elements_are![eq(&1), eq(&2), eq(&0), eq(&1)]);
}

/// A host restarts: its new connection is up before the old one is known to be gone.
#[googletest::test]
fn two_connections_to_one_host_are_two() {
    let mut following = Following::default();
    following.up("a", 1);
    following.up("a", 2);
    expect_that!(following.followed(), some(eq(1)));
    expect_that!(following.drop_link(1), eq(true));
    expect_that!(following.followed(), some(eq(2)));
    following.drop_link(2);
    expect_that!(following.followed(), none());
}
