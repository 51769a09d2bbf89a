//! How many losses a control group bears while its members change.

use googletest::prelude::*;

use super::control_fleet::ordeal::{CATCH_UP_MS, Ordeal};
use super::control_fleet::{Fleet, address};

/// Random groups that are played.
const GROUPS: u64 = 140;
/// Time after the last host is back within which the group has to accept a configuration.
const RECOVERS_WITHIN_MS: u64 = 12_000;

fn seeds() -> Vec<std::net::SocketAddr> {
    (1..=3).map(address).collect()
}

/// All hosts lose power, and one of them its disk; returns when they start again.
fn lose_a_disk_and_power(fleet: &mut Fleet, wiped: usize) {
    const DOWN_MS: u64 = 600;
    fleet.lose_disks(&[wiped], true, DOWN_MS);
    fleet.run(DOWN_MS);
}

/// The loss that the tests below add to a change of members, without the change.
#[googletest::test]
fn a_sound_group_bears_a_lost_disk() {
    for wiped in 0..3 {
        let mut fleet = Fleet::founded(wiped, 3);
        fleet.run(3_000);
        lose_a_disk_and_power(&mut fleet, wiped as usize);
        expect_that!(fleet.accepts(RECOVERS_WITHIN_MS), eq(true), "{wiped} wiped");
    }
}

/// Guards against a voter that is gone for good and stays a voter beside the host that came in its
/// place: the next loss left two of four voters, and no configuration was readable ever again.
#[googletest::test]
fn a_group_bears_the_next_loss_once_a_lost_host_has_a_successor() {
    for gone in 0..3 {
        for wiped in 0..4 {
            for newcomer_after_ms in [300, 1_000, 3_000] {
                if wiped == gone {
                    continue;
                }
                let seed = newcomer_after_ms + 10 * gone as u64 + wiped as u64;
                let mut fleet = Fleet::founded(seed, 3);
                fleet.run(3_000);
                fleet.lose_for_good(gone);
                let newcomer_ms = fleet.now_ms + newcomer_after_ms;
                fleet.add(4, &seeds(), false, newcomer_ms);
                fleet.run(newcomer_after_ms + CATCH_UP_MS);
                let before = fleet.acknowledged;
                lose_a_disk_and_power(&mut fleet, wiped);
                let case =
                    format!("{gone} gone, successor after {newcomer_after_ms} ms, {wiped} wiped");
                expect_that!(fleet.accepts(RECOVERS_WITHIN_MS), eq(true), "{case}");
                expect_that!(fleet.newest(), some(ge(before)), "{case}");
            }
        }
    }
}

/// Guards against counting how long a voter is gone anew with every leader: as in the test above, but
/// another host restarts before the gone one is replaced, and takes the leader's knowledge with it.
#[googletest::test]
fn a_restart_in_between_does_not_keep_a_gone_voter() {
    for seed in 0..12 {
        let mut fleet = Fleet::founded(seed, 3);
        fleet.run(3_000);
        let gone = fleet.leader().expect("it has accepted a configuration");
        fleet.lose_for_good(gone);
        let newcomer_ms = fleet.now_ms + 1_000;
        let newcomer = fleet.add(4, &seeds(), false, newcomer_ms);
        fleet.run(8_000);
        let restarted = (0..3).find(|place| *place != gone).expect("two are left");
        fleet.power_off(restarted, 600);
        fleet.run(8_000);
        lose_a_disk_and_power(&mut fleet, newcomer);
        expect_that!(fleet.accepts(RECOVERS_WITHIN_MS), eq(true), "seed {seed}");
    }
}

/// Guards against a group that can't bear what it states to bear: whatever came before, once every host
/// has caught up the group loses as many disks as it states, and must have a leader and all that it had
/// acknowledged. `MEMBER_RUNS` plays another number of groups, `MEMBER_SEED` only the group of that seed.
#[googletest::test]
fn random_groups_bear_what_they_state() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse().ok());
    let groups = number("MEMBER_RUNS").unwrap_or(GROUPS);
    let seeds = number("MEMBER_SEED").map_or(0..groups, |seed| seed..seed + 1);
    for seed in seeds {
        let (mut fleet, before) = Ordeal::new(seed).play();
        let accepts = fleet.accepts(RECOVERS_WITHIN_MS);
        let case = format!("seed {seed}: {:#?}", fleet.story);
        expect_that!(accepts, eq(true), "{case}");
        if let Some(newest) = fleet.newest() {
            expect_that!(newest, ge(before), "{case}");
        }
        expect_that!(fleet.groups_founded, eq(1), "{case}");
    }
}

/// Guards against members that restart and never find each other again: every host that their settings
/// name has been replaced since, each by one that names other hosts.
#[googletest::test]
fn members_find_each_other_when_all_their_seeds_are_gone() {
    let mut fleet = Fleet::founded(1, 3);
    for (gone, seeds) in [(0, [2, 3]), (1, [3, 3]), (2, [5, 5])] {
        let newcomer = fleet.hosts.len() as u8 + 1;
        fleet.run(8_000);
        fleet.lose_for_good(gone);
        let starts_ms = fleet.now_ms + 500;
        fleet.add(newcomer, &seeds.map(address), false, starts_ms);
    }
    fleet.run(8_000);
    let newest = fleet.hosts.len() - 1;
    lose_a_disk_and_power(&mut fleet, newest);
    expect_that!(
        fleet.accepts(RECOVERS_WITHIN_MS),
        eq(true),
        "{:#?}",
        fleet.story
    );
}
