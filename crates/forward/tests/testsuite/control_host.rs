//! Choice of the control host.

use std::collections::BTreeMap;

use coltsfootnotch_forward::control_host::ControlHostSelector;
use googletest::prelude::*;

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// An entry in `domain` that is connected to two control hosts in each domain.
fn selector(domain: &str, key: u64) -> ControlHostSelector<usize> {
    let mut selector = ControlHostSelector::new(domain, key);
    for link in 0..10 {
        selector.add_link(&format!("control-{link}"), DOMAINS[link / 2], link);
    }
    selector
}

fn entries() -> impl Iterator<Item = ControlHostSelector<usize>> {
    (0..360).map(|n| selector(DOMAINS[n % 5], n as u64 * 7_919))
}

/// Guards against one control host that sums the reports of a whole large fleet.
#[googletest::test]
fn entries_spread_over_the_control_hosts_of_their_domains() {
    let mut chosen = BTreeMap::<usize, u32>::new();
    for (n, selector) in entries().enumerate() {
        let link = selector.selected().unwrap();
        expect_that!(link / 2, eq(n % 5), "of its own domain");
        *chosen.entry(link).or_default() += 1;
    }
    let counts: Vec<u32> = chosen.into_values().collect();
    expect_that!(counts, len(eq(10)));
    expect_that!(counts, each(all!(ge(&20), le(&52))), "36 each");
}

/// Guards against entries without a control host when both of their domain are lost, and against all of them choosing
/// the same other one.
#[googletest::test]
fn entries_of_a_lost_domain_spread_over_the_others() {
    let mut chosen = BTreeMap::<usize, u32>::new();
    for mut selector in entries().step_by(5) {
        selector.remove_link(0);
        selector.remove_link(1);
        *chosen.entry(selector.selected().unwrap()).or_default() += 1;
    }
    expect_that!(chosen.len(), eq(8));
    expect_that!(chosen.values().max().copied(), some(le(20)), "9 each");
}

/// Guards against an entry that changes its control host with the order of connections, so that its reports are
/// counted at two.
#[googletest::test]
fn the_order_of_connections_does_not_matter() {
    let mut reversed = ControlHostSelector::new("c", 5);
    for link in (0..10).rev() {
        reversed.add_link(&format!("control-{link}"), DOMAINS[link / 2], link);
    }
    expect_that!(reversed.selected(), eq(selector("c", 5).selected()));
    let selected = reversed.selected().unwrap();
    reversed.remove_link(selected);
    let host = format!("control-{selected}");
    expect_that!(reversed.add_link(&host, "c", 11), eq(true), "it is back");
    expect_that!(reversed.selected(), some(eq(11)));
}

#[googletest::test]
fn a_timeout_changes_to_the_next_host_and_from_the_last_to_the_first() {
    let mut selector = selector("c", 5);
    let first = selector.selected();
    let mut seen = Vec::new();
    for _ in 0..10 {
        seen.push(selector.selected().unwrap());
        selector.on_timeout();
    }
    expect_that!(selector.selected(), eq(first));
    expect_that!(
        seen[..2].iter().map(|link| link / 2).collect::<Vec<_>>(),
        eq(&vec![2, 2])
    );
    seen.sort_unstable();
    expect_that!(seen, eq(&(0..10).collect::<Vec<_>>()), "each once");
}

/// Guards against entries that stay outside their domains after an election, during which no control host answers.
#[googletest::test]
fn entries_return_to_their_first_hosts_after_timeouts_at_all() {
    for mut selector in entries() {
        let first = selector.selected();
        (0..4).for_each(|_| selector.on_timeout());
        expect_that!(selector.return_to_first(), eq(true));
        expect_that!(selector.selected(), eq(first));
        expect_that!(selector.return_to_first(), eq(false));
    }
}

/// A restarted host connects again before its old connection is closed.
#[googletest::test]
fn two_connections_to_one_host_are_distinct() {
    let mut selector = ControlHostSelector::new("a", 1);
    selector.add_link("control-1", "a", 1);
    selector.add_link("control-1", "a", 2);
    expect_that!(selector.selected(), some(eq(1)));
    expect_that!(selector.remove_link(1), eq(true));
    expect_that!(selector.selected(), some(eq(2)));
    selector.remove_link(2);
    expect_that!(selector.selected(), none());
}
