//! Bootstrap of simulated fleets with random names, addresses, sizes and start orders.
//!
//! Guards against fleets that never bootstrap a group, and so serve no requests.

use coltsfootnotch_types::HostName;
use googletest::prelude::*;
use rand::Rng;
use rand::seq::SliceRandom;

use super::control_fleet::{Fleet, address};

/// Number of random fleets.
const FLEETS: u64 = 300;
/// Time after the last start within which a configuration has to be accepted: the shortest timeout of an
/// operator.
const ACCEPTED_WITHIN_MS: u64 = 4_000;

/// A fleet of hosts that are about to start, and the time of the last start.
fn random_fleet(seed: u64) -> (Fleet, u64) {
    let mut fleet = Fleet::new(seed);
    let log_hosts = fleet.rng.random_range(1..=7);
    let without_disk = fleet.rng.random_range(0..=4);
    let mut numbers: Vec<u8> = (1..=log_hosts + without_disk).collect();
    numbers.shuffle(&mut fleet.rng);
    let mut names: Vec<u16> = (0..100).collect();
    names.shuffle(&mut fleet.rng);
    // The first seed has a disk: a group needs at least one.
    let mut others: Vec<u8> = numbers[1..].to_vec();
    others.shuffle(&mut fleet.rng);
    let seeds = [numbers[0]].into_iter().chain(others).take(3);
    let seeds: Vec<_> = seeds.map(address).collect();
    let mut last_start = 0;
    for (place, number) in numbers.iter().enumerate() {
        let name = HostName::new(format!("h{}", names[place])).expect("a valid name");
        let starts_ms = fleet.rng.random_range(0..300);
        let added = fleet.add_named(name, address(*number), &seeds, true, starts_ms);
        fleet.hosts[added].has_log = place < usize::from(log_hosts);
        last_start = last_start.max(starts_ms);
    }
    (fleet, last_start)
}

/// Hosts start in any order, with any names and addresses, some without a disk or not listed as seeds.
/// Exactly one group has to be bootstrapped, and a configuration accepted in time.
#[googletest::test]
fn fleets_with_any_names_addresses_and_start_orders_accept_a_configuration() {
    for seed in 0..FLEETS {
        let (mut fleet, last_start) = random_fleet(seed);
        let accepted = fleet.accepts_config(last_start + ACCEPTED_WITHIN_MS);
        expect_that!(accepted, eq(true), "fleet {seed}");
        expect_that!(fleet.groups_bootstrapped, eq(1), "fleet {seed}");
    }
}
