//! Fault tolerance of control groups during membership changes, in simulated fleets.

use std::ops::Range;

use googletest::prelude::*;

use super::control_fleet::fault_run::{CATCH_UP_MS, FaultRun};
use super::control_fleet::{Fleet, address};

/// Number of random groups.
const GROUPS: u64 = 140;
/// Time after the last host has returned within which the group has to accept a configuration.
const RECOVERS_WITHIN_MS: u64 = 12_000;

fn seeds() -> Vec<std::net::SocketAddr> {
    (1..=3).map(address).collect()
}

/// All hosts lose power, and one of them its disk; returns when they restart.
fn lose_disk_and_power(fleet: &mut Fleet, wiped: usize) {
    const DOWN_MS: u64 = 600;
    fleet.lose_disks(&[wiped], true, DOWN_MS);
    fleet.run(DOWN_MS);
}

/// The baseline of the tests below: the same loss without a membership change.
#[googletest::test]
fn a_healthy_group_tolerates_a_lost_disk() {
    for wiped in 0..3 {
        let mut fleet = Fleet::bootstrapped(wiped, 3);
        fleet.run(3_000);
        lose_disk_and_power(&mut fleet, wiped as usize);
        expect_that!(
            fleet.accepts_config(RECOVERS_WITHIN_MS),
            eq(true),
            "{wiped} wiped"
        );
    }
}

/// Guards against a lost host that stays a voter beside its replacement: the next loss then leaves two of
/// four voters and no quorum.
#[googletest::test]
fn a_group_tolerates_the_next_loss_after_replacing_a_lost_host() {
    for lost in 0..3 {
        for wiped in 0..4 {
            for replaced_after_ms in [300, 1_000, 3_000] {
                if wiped == lost {
                    continue;
                }
                let seed = replaced_after_ms + 10 * lost as u64 + wiped as u64;
                let mut fleet = Fleet::bootstrapped(seed, 3);
                fleet.run(3_000);
                fleet.remove(lost);
                let start_ms = fleet.now_ms + replaced_after_ms;
                fleet.add(4, &seeds(), false, start_ms);
                fleet.run(replaced_after_ms + CATCH_UP_MS);
                let before = fleet.acknowledged;
                lose_disk_and_power(&mut fleet, wiped);
                let case =
                    format!("{lost} lost, replaced after {replaced_after_ms} ms, {wiped} wiped");
                expect_that!(fleet.accepts_config(RECOVERS_WITHIN_MS), eq(true), "{case}");
                expect_that!(fleet.newest(), some(ge(before)), "{case}");
            }
        }
    }
}

/// Guards against a new leader that restarts the timeout of a lost voter: as in the test above, but
/// another host restarts before the lost one is replaced.
#[googletest::test]
fn a_restart_in_between_does_not_keep_a_lost_voter() {
    for seed in 0..12 {
        let mut fleet = Fleet::bootstrapped(seed, 3);
        fleet.run(3_000);
        let lost = fleet.leader().expect("it has accepted a configuration");
        fleet.remove(lost);
        let start_ms = fleet.now_ms + 1_000;
        let new_host = fleet.add(4, &seeds(), false, start_ms);
        fleet.run(8_000);
        let restarted = (0..3).find(|place| *place != lost).expect("two are left");
        fleet.power_off(restarted, 600);
        fleet.run(8_000);
        lose_disk_and_power(&mut fleet, new_host);
        expect_that!(
            fleet.accepts_config(RECOVERS_WITHIN_MS),
            eq(true),
            "seed {seed}"
        );
    }
}

/// Guards against a group that doesn't tolerate the specified number of losses: after random faults it
/// loses that many disks, and must elect a leader and keep all acknowledged configurations. `MEMBER_RUNS`
/// sets the number of groups, `MEMBER_SEED` runs only the group with that seed.
#[googletest::test]
fn random_groups_tolerate_the_specified_losses() {
    for seed in random_seeds() {
        tolerates_losses(FaultRun::new(seed), seed);
    }
}

fn random_seeds() -> Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse().ok());
    let groups = number("MEMBER_RUNS").unwrap_or(GROUPS);
    number("MEMBER_SEED").map_or(0..groups, |seed| seed..seed + 1)
}

fn tolerates_losses(run: FaultRun, seed: u64) {
    let (mut fleet, before) = run.execute();
    let accepts_config = fleet.accepts_config(RECOVERS_WITHIN_MS);
    let case = format!("seed {seed}: {:#?}", fleet.trace);
    expect_that!(accepts_config, eq(true), "{case}");
    if let Some(newest) = fleet.newest() {
        expect_that!(newest, ge(before), "{case}");
    }
    expect_that!(fleet.groups_bootstrapped, eq(1), "{case}");
}

/// Guards against a group that has shrunk while two of its hosts were lost, and doesn't tolerate the next two
/// losses once they are back.
#[googletest::test]
fn a_group_that_has_shrunk_tolerates_the_next_losses_once_all_are_back() {
    for seed in 0..20 {
        let mut fleet = Fleet::bootstrapped(seed, 5);
        fleet.run(6_000);
        let leader = fleet.leader().expect("it has accepted a configuration");
        let [isolated, killed, wiped, _] = [1, 2, 3, 4].map(|n| (leader + n) % 5);
        fleet.isolate(isolated);
        fleet.run(8_600);
        fleet.kill(killed, 3_500);
        fleet.run(2_400);
        fleet.heal(isolated);
        fleet.run(1_100 + CATCH_UP_MS);
        let before = fleet.acknowledged;
        fleet.lose_disks(&[leader, wiped], false, 1_600);
        let accepts_config = fleet.accepts_config(RECOVERS_WITHIN_MS);
        let case = format!("seed {seed}: {:#?}", fleet.trace);
        expect_that!(accepts_config, eq(true), "{case}");
        expect_that!(fleet.newest(), some(ge(before)), "{case}");
    }
}

/// Guards against a group that doesn't tolerate the specified number of losses after outages that are long
/// enough for it to shrink. `MEMBER_RUNS` and `MEMBER_SEED` as above.
#[googletest::test]
fn random_groups_tolerate_the_specified_losses_after_long_outages() {
    for seed in random_seeds() {
        tolerates_losses(FaultRun::with_long_outages(seed), seed);
    }
}

/// Guards against restarted members that can't discover each other after all their seeds have been
/// replaced.
#[googletest::test]
fn members_discover_each_other_after_all_their_seeds_are_replaced() {
    let mut fleet = Fleet::bootstrapped(1, 3);
    for (lost, seeds) in [(0, [2, 3]), (1, [3, 3]), (2, [5, 5])] {
        let new_host = fleet.hosts.len() as u8 + 1;
        fleet.run(8_000);
        fleet.remove(lost);
        let starts_ms = fleet.now_ms + 500;
        fleet.add(new_host, &seeds.map(address), false, starts_ms);
    }
    fleet.run(8_000);
    let newest = fleet.hosts.len() - 1;
    lose_disk_and_power(&mut fleet, newest);
    expect_that!(
        fleet.accepts_config(RECOVERS_WITHIN_MS),
        eq(true),
        "{:#?}",
        fleet.trace
    );
}
