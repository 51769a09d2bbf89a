//! Latency of changes to a configuration with 5,700 accounts, the size to design for.

use std::time::{Duration, Instant};

use coltsfootnotch_types::prelude::*;

use crate::client::{Client, manifest};
use crate::group::Group;

const ACCOUNTS: usize = 5_700;
const CHANGES: u64 = 20;

/// Applies the changes one after another; prints their latencies and the elections they caused.
pub(crate) fn run() {
    let group = Group::started(|_| {});
    let leader = group.wait_for_leader();
    let mut operator = group.client((leader + 1) % 3, Role::Operator, "op");
    let term = |operator: &mut Client| operator.status()["group"]["term"].as_u64();
    let term_before = term(&mut operator);
    let names: Vec<_> = (0..ACCOUNTS).map(|n| format!("account-{n}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let changes: Vec<_> = (1..=CHANGES)
        .map(|number| manifest(number, &names))
        .collect();
    let body = changes[0].body.len();
    let mut latencies: Vec<Duration> = Vec::new();
    for change in changes {
        let started = Instant::now();
        operator.accept(change);
        latencies.push(started.elapsed());
    }
    latencies.sort();
    let elections = term(&mut operator)
        .zip(term_before)
        .map_or(0, |(after, before)| after - before);
    println!("| accounts | bytes of a body | accepted after, median ms | longest ms | elections |");
    println!("|---|---|---|---|---|");
    println!(
        "| {ACCOUNTS} | {body} | {} | {} | {elections} |",
        latencies[latencies.len() / 2].as_millis(),
        latencies[latencies.len() - 1].as_millis(),
    );
}
