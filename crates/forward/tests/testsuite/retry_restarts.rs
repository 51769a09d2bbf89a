//! Retries of a fleet in which entries restart within one window.

use googletest::prelude::*;

use super::retry_fleet::{
    CONTROL_HOSTS, ENTRIES, Fleet, LIMIT, PLAYED, Play, RESTART, STEPS, Wanted, play,
};

/// Plays a fleet; returns the most retries in any window, relative to what the operator allows.
fn worst_window(restarted: usize, wanted: Wanted, how: Play) -> f64 {
    let Fleet {
        requests, retries, ..
    } = play(restarted, wanted, how);
    let window = LIMIT.window.as_secs() as usize * STEPS;
    let sum = |counts: &[f64], from: usize| counts[from..from + window].iter().sum::<f64>();
    let relative = |from: usize| {
        let earlier = [from, from - window / 2, from - window];
        let asked = earlier.map(|from| sum(&requests, from));
        let most = asked.into_iter().fold(0.0, f64::max);
        sum(&retries, from) / (most * LIMIT.ratio + LIMIT.slack)
    };
    let starts = 2 * window..PLAYED * STEPS - window;
    starts.map(relative).fold(0.0, f64::max)
}

/// Retries of all requests in the half second before the restart, by the entries that restart, and by all in the last
/// second of the window.
fn before_and_at_the_end(restarts: bool, second: f64) -> f64 {
    let before = restarts && (29.5..30.0).contains(&second);
    f64::from(u8::from(before || (39.0..40.0).contains(&second))) * 8.0
}

/// As many as the budget allows in the last moment before the restart, less than a period of reports, and at the
/// window's end.
fn in_the_last_moment_and_at_the_end(restarts: bool, second: f64) -> f64 {
    let before = restarts && (29.96..30.0).contains(&second);
    f64::from(u8::from(before || (39.0..40.0).contains(&second))) * 100.0
}

fn a_third(_restarts: bool, second: f64) -> f64 {
    f64::from(u8::from((25.0..40.0).contains(&second))) * 0.33
}

/// Steady, unlike [`a_third`]: what is counted as younger than it is frees its budget up to some bucket lengths later, which
/// only moves the retries of a steady need.
fn a_third_always(_restarts: bool, _second: f64) -> f64 {
    0.33
}

fn all(_restarts: bool, _second: f64) -> f64 {
    1.0
}

const PATTERNS: [Wanted; 4] = [
    before_and_at_the_end,
    in_the_last_moment_and_at_the_end,
    a_third,
    all,
];

/// Guards against entries that restart within a window and spend the whole budget again which their predecessors have
/// spent.
#[googletest::test]
fn entries_that_restart_keep_the_limit_with_their_predecessors() {
    for restarted in [0, 24, ENTRIES] {
        for wanted in PATTERNS {
            for how in [Play::Kills, Play::Stops, Play::KillsTwice] {
                let worst = worst_window(restarted, wanted, how);
                expect_that!(worst, le(1.0), "{restarted} {how:?}");
            }
        }
    }
}

/// Guards against entries that spend the budget of their predecessors again since the control hosts that knew of it
/// restart with them, or did shortly before.
#[googletest::test]
fn entries_that_restart_with_control_hosts_keep_the_limit_with_their_predecessors() {
    for restarted in [24, ENTRIES] {
        for wanted in PATTERNS {
            for count in [1, 3, CONTROL_HOSTS] {
                let plays = [
                    Play::KillsWithControlHosts(count),
                    Play::KillsAfterControlHosts(count),
                    Play::KillsWithLostControlHosts(count, false),
                    Play::KillsWithLostControlHosts(count, true),
                ];
                // A fleet without any control host has no budget at all.
                let is_left =
                    |how: &Play| !matches!(how, Play::KillsWithLostControlHosts(CONTROL_HOSTS, _));
                for how in plays.into_iter().filter(is_left) {
                    let worst = worst_window(restarted, wanted, how);
                    expect_that!(worst, le(1.0), "{restarted} {how:?}");
                }
            }
        }
    }
}

/// Guards against a budget that is safe since restarted entries have none: with their predecessors' requests they send
/// as much again as a fleet that doesn't restart.
#[googletest::test]
fn entries_that_restart_send_as_much_again_as_others() {
    let first_window = (RESTART * STEPS + STEPS)..(RESTART + 10) * STEPS;
    let sent = |restarted, wanted, how| -> f64 {
        let fleet = play(restarted, wanted, how);
        fleet.retries[first_window.clone()].iter().sum()
    };
    for wanted in [a_third_always as Wanted, all] {
        let plays = [
            Play::Kills,
            Play::Stops,
            Play::KillsTwice,
            Play::KillsAfterControlHosts(1),
        ];
        for how in plays {
            let undisturbed = sent(0, wanted, how);
            expect_that!(sent(ENTRIES, wanted, how), ge(undisturbed * 0.9), "{how:?}");
        }
    }
}
