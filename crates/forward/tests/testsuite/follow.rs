//! Choice of the control host.

use coltsfootnotch_forward::follow::Following;
use googletest::prelude::*;

/// Entries that choose different control hosts overfill the same engines. All choose the same host,
/// whatever the order of connections and of removals.
#[googletest::test]
fn entries_choose_the_same_host_in_any_order_of_connections() {
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
fn a_timeout_changes_to_the_next_host_and_from_the_last_to_the_first() {
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

/// A restarted host connects again before its old connection is closed.
#[googletest::test]
fn two_connections_to_one_host_are_distinct() {
    let mut following = Following::default();
    following.up("a", 1);
    following.up("a", 2);
    expect_that!(following.followed(), some(eq(1)));
    expect_that!(following.drop_link(1), eq(true));
    expect_that!(following.followed(), some(eq(2)));
    following.drop_link(2);
    expect_that!(following.followed(), none());
}
