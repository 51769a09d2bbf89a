//! Random schedules of faults against a group on a fake network.
//!
//! `CONSENSUS_CASES`, `CONSENSUS_STEPS` and `CONSENSUS_SEED` set the number of schedules, their
//! maximum length and the seed; docs/design/replicated-log.md has the command.

mod group;

use std::cell::Cell;
use std::time::Instant;

use coltsfootnotch_consensus::CoreConfig;
use group::{Group, small_limits};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// An event in a schedule.
#[derive(Debug, Clone)]
enum Event {
    Run(u64),
    Load { proposals: u8, gap_ms: u64 },
    Read,
    NetworkFaults(u32),
    CutOneWay(usize, usize),
    CutBoth(usize, usize),
    Isolate(usize),
    IsolateLeader,
    Heal,
    Crash(usize),
    CrashLeader,
    CrashAll,
    Restart,
    Transfer,
    LoseDisk(usize),
    DiskStalled(usize, bool),
}

fn event(hosts: usize) -> impl Strategy<Value = Event> {
    let host = move || 0..hosts;
    prop_oneof![
        6 => (1..400u64).prop_map(Event::Run),
        6 => (1..80u8, 0..12u64).prop_map(|(proposals, gap_ms)| Event::Load { proposals, gap_ms }),
        3 => Just(Event::Read),
        2 => prop_oneof![Just(0), Just(5u32), Just(25)].prop_map(Event::NetworkFaults),
        2 => (host(), host()).prop_map(|(a, b)| Event::CutOneWay(a, b)),
        1 => (host(), host()).prop_map(|(a, b)| Event::CutBoth(a, b)),
        1 => host().prop_map(Event::Isolate),
        2 => Just(Event::IsolateLeader),
        3 => Just(Event::Heal),
        1 => host().prop_map(Event::Crash),
        2 => Just(Event::CrashLeader),
        1 => Just(Event::CrashAll),
        4 => Just(Event::Restart),
        1 => Just(Event::Transfer),
        2 => host().prop_map(Event::LoseDisk),
        1 => (host(), any::<bool>()).prop_map(|(h, stalled)| Event::DiskStalled(h, stalled)),
    ]
}

fn apply_event(group: &mut Group, event: &Event) {
    match *event {
        Event::Run(ms) => group.run(ms),
        Event::Load { proposals, gap_ms } => {
            for _ in 0..proposals {
                group.propose();
                group.read();
                group.run(gap_ms);
            }
        }
        Event::Read => group.read(),
        Event::NetworkFaults(percent) => group.fault_percent = percent,
        Event::CutOneWay(a, b) => {
            let (a, b) = (group.latest_member_on(a), group.latest_member_on(b));
            group.cut(&a, &b);
        }
        Event::CutBoth(a, b) => {
            let (a, b) = (group.latest_member_on(a), group.latest_member_on(b));
            group.cut(&a, &b);
            group.cut(&b, &a);
        }
        Event::Isolate(host) => {
            let id = group.latest_member_on(host);
            group.isolate(&id);
        }
        Event::IsolateLeader => {
            if let Some(id) = group.leader() {
                group.isolate(&id);
            }
        }
        Event::Heal => group.heal(),
        Event::Crash(host) => {
            let id = group.latest_member_on(host);
            group.crash(&id);
        }
        Event::CrashLeader => {
            if let Some(id) = group.leader() {
                group.crash(&id);
            }
        }
        Event::CrashAll => group.crash_all(),
        Event::Restart => group.restart_all(),
        Event::Transfer => {
            let now = group.now_ms;
            group.nodes.values_mut().for_each(|n| n.transfer(now));
        }
        // One disk at a time: the next may be lost as soon as the replacement is committed.
        Event::LoseDisk(host) if group.replacement.is_none() => {
            let old = group.latest_member_on(host);
            let disk = old.disk.0 + 100;
            group.replace(&old, disk);
        }
        Event::LoseDisk(_) => {}
        Event::DiskStalled(host, stalled) => {
            let id = group.latest_member_on(host);
            group.node(&id).disk_stalled = stalled;
        }
    }
}

fn number_from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |t| t.parse().expect("the value is a number"))
}

/// A group and the events applied to it.
#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    hosts: usize,
    lease_reads: bool,
    drift_per_mille: u32,
    events: Vec<Event>,
}

fn schedule(steps: usize) -> impl Strategy<Value = Schedule> {
    let hosts = prop_oneof![3 => Just(3usize), 1 => Just(5)];
    let drift = prop_oneof![Just(10u32), Just(200)];
    (any::<u64>(), hosts, any::<bool>(), drift).prop_flat_map(
        move |(seed, hosts, lease_reads, drift_per_mille)| {
            let events = prop::collection::vec(event(hosts), 1..=steps);
            events.prop_map(move |events| Schedule {
                seed,
                hosts,
                lease_reads,
                drift_per_mille,
                events,
            })
        },
    )
}

/// Runs the schedule and checks the group at the end.
fn run_schedule(schedule: &Schedule, with_files: bool) -> Group {
    let cfg = CoreConfig {
        lease_reads: schedule.lease_reads,
        drift_per_mille: schedule.drift_per_mille,
        ..small_limits()
    };
    let mut group = Group::start(cfg, schedule.hosts, schedule.seed, with_files);
    for event in &schedule.events {
        apply_event(&mut group, event);
    }
    group
        .nodes
        .values_mut()
        .for_each(|n| n.disk_stalled = false);
    group.assert_converges();
    group
}

fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    })
}

// Guards against storage that differs from the in-memory disk of the other runs: after each crash,
// the recovered files must equal it.
#[test]
fn files_match_the_fake_disk_after_a_crash() {
    let result = runner(12, 3).run(&schedule(40), |schedule| {
        let mut group = run_schedule(&schedule, true);
        group.crash_all();
        group.restart_all();
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

// Guards against lost acknowledged commands, diverging logs, stale reads and groups that do not
// recover, under random combinations of tolerated faults.
#[test]
fn nothing_acknowledged_is_lost_under_random_faults() {
    let cases = number_from_env("CONSENSUS_CASES", 96) as u32;
    let steps = number_from_env("CONSENSUS_STEPS", 60) as usize;
    let seed = number_from_env("CONSENSUS_SEED", 20_261_202);
    let mut runner = runner(cases, seed);
    let (events, ms, acked, reads) = (Cell::new(0), Cell::new(0), Cell::new(0), Cell::new(0));
    let started = Instant::now();
    let result = runner.run(&schedule(steps), |schedule| {
        let group = run_schedule(&schedule, false);
        events.set(events.get() + schedule.events.len());
        ms.set(ms.get() + group.now_ms);
        acked.set(acked.get() + group.checks.acked.len());
        reads.set(reads.get() + group.checks.reads_answered);
        Ok(())
    });
    println!(
        "seed {seed}: {cases} cases, {} events, {:.1} hours of group time, {} commands \
         acknowledged, {} reads answered, {:.1} minutes",
        events.get(),
        ms.get() as f64 / 3_600_000.0,
        acked.get(),
        reads.get(),
        started.elapsed().as_secs_f64() / 60.0,
    );
    if let Err(e) = result {
        panic!("{e}");
    }
    assert!(acked.get() > 0, "the runs acknowledge commands");
    assert!(reads.get() > 0, "the runs answer reads");
}
