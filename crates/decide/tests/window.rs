//! The concurrency window against a simulated engine in virtual time.

use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

use coltsfootnotch_decide::window::{ConcurrencyWindow, RunEnd, WindowTargets};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(20);
const PREFILL: Duration = Duration::from_millis(200);

struct Run {
    started: Duration,
    admitted: Option<Duration>,
    has_first_token: bool,
    tokens_left: u32,
}

/// An engine that accepts every request and queues those beyond its slots.
struct Engine {
    slots: usize,
    running: Vec<Run>,
    queue: VecDeque<Run>,
    window: ConcurrencyWindow,
    now: Duration,
    busy_slot_steps: u64,
    slot_steps: u64,
    most_queued: usize,
    most_in_flight: u32,
}

impl Engine {
    fn new(slots: usize) -> Self {
        Self {
            slots,
            running: Vec::new(),
            queue: VecDeque::new(),
            window: ConcurrencyWindow::new(WindowTargets::model()),
            now: Duration::ZERO,
            busy_slot_steps: 0,
            slot_steps: 0,
            most_queued: 0,
            most_in_flight: 0,
        }
    }

    /// Runs for `time` with a backlog, but at most `max_in_flight` requests in flight.
    fn run(&mut self, time: Duration, max_in_flight: u32, rng: &mut StdRng) {
        let end = self.now + time;
        (self.busy_slot_steps, self.slot_steps, self.most_queued) = (0, 0, 0);
        while self.now < end {
            self.now += STEP;
            while self.window.free() > 0 && self.window.in_flight() < max_in_flight {
                self.window
                    .on_start(self.now, self.window.in_flight() + 1 < max_in_flight);
                let tokens_left = rng.random_range(100..400);
                let started = self.now;
                self.queue.push_back(Run {
                    started,
                    admitted: None,
                    has_first_token: false,
                    tokens_left,
                });
            }
            self.step();
            self.window.on_tick(self.now);
        }
    }

    fn step(&mut self) {
        while self.running.len() < self.slots {
            let Some(mut run) = self.queue.pop_front() else {
                break;
            };
            run.admitted = Some(self.now);
            self.running.push(run);
        }
        self.most_queued = self.most_queued.max(self.queue.len());
        self.most_in_flight = self.most_in_flight.max(self.window.in_flight());
        self.busy_slot_steps += self.running.len() as u64;
        self.slot_steps += self.slots as u64;
        for mut run in std::mem::take(&mut self.running) {
            if run.admitted.is_some_and(|at| self.now >= at + PREFILL) {
                if !run.has_first_token {
                    run.has_first_token = true;
                    self.window.on_first_token(run.started, self.now);
                }
                self.window.on_token_gap(STEP, self.now);
                run.tokens_left -= 1;
            }
            if run.tokens_left == 0 {
                self.window.on_end(run.started, self.now, RunEnd::Finished);
            } else {
                self.running.push(run);
            }
        }
    }

    fn fail_all(&mut self) {
        let failed = self.running.drain(..).chain(self.queue.drain(..));
        for run in failed.collect::<Vec<_>>() {
            self.window.on_end(run.started, self.now, RunEnd::Failed);
        }
    }

    fn utilisation(&self) -> u64 {
        self.busy_slot_steps * 1_000 / self.slot_steps
    }
}

#[gtest]
fn the_limit_converges_to_the_slots_of_the_engine() {
    // After two minutes of backlog at least 97% of the slots are in use.
    let mut text = String::from("slots limit utilisation most-queued-inside\n");
    for slots in [4, 10, 24, 40, 64, 96] {
        let mut engine = Engine::new(slots);
        let mut rng = StdRng::seed_from_u64(4);
        engine.run(Duration::from_secs(120), u32::MAX, &mut rng);
        engine.run(Duration::from_secs(300), u32::MAX, &mut rng);
        let (limit, queued) = (engine.window.limit(), engine.most_queued);
        expect_that!(engine.utilisation(), ge(970), "{slots} slots");
        writeln!(
            text,
            "{slots:>5} {limit:>5} {:>6}/1000 {queued:>6}",
            engine.utilisation()
        )
        .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(text);
}

#[gtest]
fn the_window_does_not_grow_without_demand() {
    let mut engine = Engine::new(64);
    engine.run(Duration::from_secs(120), 3, &mut StdRng::seed_from_u64(4));
    expect_that!(engine.window.limit(), eq(4));
}

#[gtest]
fn the_limit_follows_a_loss_and_return_of_half_the_slots() {
    let mut engine = Engine::new(40);
    let mut rng = StdRng::seed_from_u64(4);
    engine.run(Duration::from_secs(240), u32::MAX, &mut rng);
    let before = engine.window.limit();
    engine.slots = 20;
    engine.run(Duration::from_secs(60), u32::MAX, &mut rng);
    expect_that!(engine.window.limit(), le(before * 2 / 3));
    engine.slots = 40;
    engine.run(Duration::from_secs(120), u32::MAX, &mut rng);
    engine.run(Duration::from_secs(60), u32::MAX, &mut rng);
    expect_that!(engine.utilisation(), ge(970));
}

#[gtest]
fn a_crash_that_fails_all_runs_halves_the_limit_once() {
    let mut engine = Engine::new(40);
    engine.run(
        Duration::from_secs(240),
        u32::MAX,
        &mut StdRng::seed_from_u64(4),
    );
    let before = engine.window.limit();
    engine.fail_all();
    expect_that!(
        engine.window.limit(),
        all!(ge(before / 2 - 2), le(before / 2))
    );
}

#[gtest]
fn the_limit_of_a_hung_engine_is_halved_without_measurements() {
    let mut window = ConcurrencyWindow::new(WindowTargets::model());
    for _ in 0..4 {
        window.on_start(Duration::from_secs(1), true);
    }
    window.on_tick(Duration::from_secs(2));
    expect_that!(window.limit(), eq(4));
    window.on_tick(Duration::from_secs(4));
    expect_that!(window.limit(), eq(2));
    expect_that!(window.free(), eq(0));
}

#[gtest]
fn a_stale_load_report_is_ignored() {
    // The report is older than the last change of the limit.
    let mut engine = Engine::new(40);
    engine.run(
        Duration::from_secs(3),
        u32::MAX,
        &mut StdRng::seed_from_u64(4),
    );
    let before = engine.window.limit();
    engine.window.on_load_report(Duration::ZERO, 50);
    engine.run(
        Duration::from_secs(30),
        u32::MAX,
        &mut StdRng::seed_from_u64(4),
    );
    expect_that!(engine.window.limit(), gt(before));
}
