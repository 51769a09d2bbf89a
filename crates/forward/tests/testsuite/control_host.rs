//! Choice of the control host.

use coltsfootnotch_forward::control_host::ControlHostSelector;
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
        let mut selector = ControlHostSelector::default();
        for (link, host) in order.iter().enumerate() {
            selector.add_link(host, link);
        }
        let without_log = order.iter().position(|host| *host == "a").unwrap();
        selector.remove_link(without_log);
        let selected = selector.selected().map(|link| order[link]);
        expect_that!(selected, some(eq("b")), "connected in order {order:?}");
    }
}

#[googletest::test]
fn a_timeout_changes_to_the_next_host_and_from_the_last_to_the_first() {
    let mut selector = ControlHostSelector::default();
    for (link, host) in ["c", "a", "b"].iter().enumerate() {
        selector.add_link(host, link);
    }
    let mut selected = Vec::new();
    for _ in 0..4 {
        selected.push(selector.selected().unwrap());
        selector.on_timeout();
    }
    expect_that!(selected, elements_are![eq(&1), eq(&2), eq(&0), eq(&1)]);
}

/// A restarted host connects again before its old connection is closed.
#[googletest::test]
fn two_connections_to_one_host_are_distinct() {
    let mut selector = ControlHostSelector::default();
    selector.add_link("a", 1);
    selector.add_link("a", 2);
    expect_that!(selector.selected(), some(eq(1)));
    expect_that!(selector.remove_link(1), eq(true));
    expect_that!(selector.selected(), some(eq(2)));
    selector.remove_link(2);
    expect_that!(selector.selected(), none());
}
