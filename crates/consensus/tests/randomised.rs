//! Random schedules of trouble against a group on a fake network.
//!
//! `CONSENSUS_CASES`, `CONSENSUS_STEPS` and `CONSENSUS_SEED` make the run longer or another one;
//! docs/design/replicated-log.md has the command.

mod group;

use std::cell::Cell;
use std::time::Instant;

use coltsfootnotch_consensus::CoreConfig;
use group::{Group, small_limits};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Something that happens to the group.
#[derive(Debug, Clone)]
enum Event {
    Run(u64),
    Load { proposals: u8, gap_ms: u64 },
    Read,
    Trouble(u32),
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
    DiskHangs(usize, bool),
}

fn event(hosts: usize) -> impl Strategy<Value = Event> {
    let host = move || 0..hosts;
    prop_oneof![
        6 => (1..400u64).prop_map(Event::Run),
        6 => (1..80u8, 0..12u64).prop_map(|(proposals, gap_ms)| Event::Load { proposals, gap_ms }),
        3 => Just(Event::Read),
        2 => prop_oneof![Just(0), Just(5u32), Just(25)].prop_map(Event::Trouble),
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
        1 => (host(), any::<bool>()).prop_map(|(h, hangs)| Event::DiskHangs(h, hangs)),
    ]
}

fn happen(group: &mut Group, event: &Event) {
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
        Event::Trouble(per_cent) => group.trouble = per_cent,
        Event::CutOneWay(a, b) => {
            let (a, b) = (group.of_host(a), group.of_host(b));
            group.cut(&a, &b);
        }
        Event::CutBoth(a, b) => {
            let (a, b) = (group.of_host(a), group.of_host(b));
            group.cut(&a, &b);
            group.cut(&b, &a);
        }
        Event::Isolate(host) => {
            let id = group.of_host(host);
            group.isolate(&id);
        }
        Event::IsolateLeader => {
            if let Some(id) = group.leader() {
                group.isolate(&id);
            }
        }
        Event::Heal => group.heal(),
        Event::Crash(host) => {
            let id = group.of_host(host);
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
        // One disk at a time: the next may be lost as soon as the group says the repair is done.
        Event::LoseDisk(host) if group.repair.is_none() => {
            let old = group.of_host(host);
            let disk = old.disk.0 + 100;
            group.replace(&old, disk);
        }
        Event::LoseDisk(_) => {}
        Event::DiskHangs(host, hangs) => {
            let id = group.of_host(host);
            group.node(&id).disk_hangs = hangs;
        }
    }
}

fn number_from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |t| t.parse().expect("a number"))
}

/// A group and everything that happens to it.
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
fn play(schedule: &Schedule, with_files: bool) -> Group {
    let cfg = CoreConfig {
        lease_reads: schedule.lease_reads,
        drift_per_mille: schedule.drift_per_mille,
        ..small_limits()
    };
    let mut group = Group::start(cfg, schedule.hosts, schedule.seed, with_files);
    for event in &schedule.events {
        happen(&mut group, event);
    }
    group.nodes.values_mut().for_each(|n| n.disk_hangs = false);
    group.settle();
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

// The runs below take a list in memory for the disk. Here every member writes real files as well,
// and after each crash they must hold exactly what the list holds; otherwise a restarted member
// would come back with something else than the runs have tried.
#[test]
fn the_files_hold_what_the_fake_disk_holds() {
    let played = runner(12, 3).run(&schedule(40), |schedule| {
        let mut group = play(&schedule, true);
        group.crash_all();
        group.restart_all();
        Ok(())
    });
    if let Err(e) = played {
        panic!("{e}");
    }
}

// What the caller sees: whatever fails and in whatever order, nothing acknowledged is lost, all
// members apply one order, a read never answers from before it began, and once trouble ends the
// group goes on. The order of faults is random; each is one that the group must survive alone,
// and here they come together and twice.
#[test]
fn nothing_acknowledged_is_lost_under_random_faults() {
    let cases = number_from_env("CONSENSUS_CASES", 96) as u32;
    let steps = number_from_env("CONSENSUS_STEPS", 60) as usize;
    let seed = number_from_env("CONSENSUS_SEED", 20_261_202);
    let mut runner = runner(cases, seed);
    let (events, ms, acked, reads) = (Cell::new(0), Cell::new(0), Cell::new(0), Cell::new(0));
    let began = Instant::now();
    let verdict = runner.run(&schedule(steps), |schedule| {
        let group = play(&schedule, false);
        events.set(events.get() + schedule.events.len());
        ms.set(ms.get() + group.now_ms);
        acked.set(acked.get() + group.seen.acked.len());
        reads.set(reads.get() + group.seen.reads_answered);
        Ok(())
    });
    println!(
        "seed {seed}: {cases} cases, {} events, {:.1} hours of group time, {} commands \
         acknowledged, {} reads answered, {:.1} minutes",
        events.get(),
        ms.get() as f64 / 3_600_000.0,
        acked.get(),
        reads.get(),
        began.elapsed().as_secs_f64() / 60.0,
    );
    if let Err(e) = verdict {
        panic!("{e}");
    }
    assert!(acked.get() > 0, "the runs acknowledge something");
    assert!(reads.get() > 0, "the runs answer reads");
}
