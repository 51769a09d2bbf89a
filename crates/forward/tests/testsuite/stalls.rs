//! Stalls of streams at simulated engines that prefill prompts between generation steps.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{BacklogLimit, SentRequest, UpstreamLoads};
use coltsfootnotch_forward::place::{
    Candidate, PlacementRequest, PrefillRate, Prompt, place_engine,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DOMAIN: &str = "north";
const TARGET: Duration = Duration::from_millis(600);
/// The pause that callers tolerate.
const GAP: Duration = Duration::from_millis(300);
const TOKENS_PER_EVENT: u32 = 8;
/// Tokens of prompts, equally likely.
const PROMPT_TOKENS: [u32; 8] = [600, 600, 1_800, 1_800, 4_600, 4_600, 15_800, 30_000];
const PROMPTS_PER_BURST: u32 = 3;
const ANSWER_TOKENS: u32 = 240;

#[derive(Clone, Copy)]
struct EngineKind {
    tokens_per_ms: f64,
    /// Time of a step without prefill, in milliseconds.
    step_ms: f64,
    max_step_tokens: f64,
}

/// Prefills the whole backlog before the next step.
const GREEDY: EngineKind = EngineKind {
    tokens_per_ms: 140.0,
    step_ms: 3.0,
    max_step_tokens: f64::INFINITY,
};

const CHUNKED: EngineKind = EngineKind {
    tokens_per_ms: 140.0,
    step_ms: 3.0,
    max_step_tokens: 2_000.0,
};

struct Stream {
    sent: SentRequest,
    uncached: f64,
    generated: u32,
    last_event: Duration,
    longest_pause: Duration,
}

struct Engine {
    id: Arc<str>,
    waiting: VecDeque<Stream>,
    prefilled: Vec<Stream>,
    streams: Vec<Stream>,
    step_ends: Duration,
}

/// Outcomes for callers.
#[derive(Debug, Default)]
struct Outcomes {
    requests: u32,
    refused: u32,
    late: u32,
    /// A pause longer than callers tolerate.
    stalled: u32,
}

struct Fleet {
    kind: EngineKind,
    gap: Option<Duration>,
    engines: Vec<Engine>,
    loads: UpstreamLoads,
    now: Duration,
    rng: StdRng,
    outcomes: Outcomes,
}

impl Fleet {
    /// `gap` is the pause that placement takes into account.
    fn new(kind: EngineKind, gap: Option<Duration>) -> Self {
        let ids = (0..6).map(|n| Arc::<str>::from(format!("engine-{n}")));
        let mut loads = UpstreamLoads::default();
        let engine = |id: Arc<str>| {
            loads.entry(&id, 1);
            Engine {
                id,
                waiting: VecDeque::new(),
                prefilled: Vec::new(),
                streams: Vec::new(),
                step_ends: Duration::ZERO,
            }
        };
        Self {
            kind,
            gap,
            engines: ids.map(engine).collect(),
            loads,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(11),
            outcomes: Outcomes::default(),
        }
    }

    /// Simulates bursts of short and long prompts, at `utilization` of the prefill capacity.
    fn simulate(&mut self, utilization: f64, time: Duration) -> Outcomes {
        self.outcomes = Outcomes::default();
        let end = self.now + time;
        let all = self.engines.len() as f64 * self.kind.tokens_per_ms;
        let mean = f64::from(PROMPT_TOKENS.iter().sum::<u32>()) / PROMPT_TOKENS.len() as f64;
        let burst_rate = utilization * all / (f64::from(PROMPTS_PER_BURST) * mean);
        while self.now < end {
            self.now += Duration::from_millis(1);
            if self.rng.random_bool(burst_rate) {
                (0..PROMPTS_PER_BURST).for_each(|_| self.send_request());
            }
            (0..self.engines.len()).for_each(|n| self.work(n));
        }
        std::mem::take(&mut self.outcomes)
    }

    fn send_request(&mut self) {
        let tokens = PROMPT_TOKENS[self.rng.random_range(0..PROMPT_TOKENS.len())];
        let prompt = Prompt {
            tokens,
            output_tokens: ANSWER_TOKENS,
            shared: Vec::new(),
        };
        let prefill_rate = PrefillRate {
            tokens_per_ms: self.kind.tokens_per_ms,
            base_ms: 35.0,
        };
        let request = PlacementRequest {
            prompt: &prompt,
            pressure: None,
            fair_fraction: 1.0,
            shortest_target: TARGET,
            shortest_gap: self.gap,
            subject_per_s: 0.0,
            is_resumed: false,
            copy_rate: None,
            domain: DOMAIN,
            tie_breaker: self.rng.random(),
            avoid: &[],
        };
        let candidates = self.engines.iter().map(|engine| Candidate {
            id: &engine.id,
            domain: DOMAIN,
            slots: 64,
            memory_tokens: 444_000,
            load: self.loads.get(&engine.id, 1).expect("known engine"),
        });
        let placed = place_engine(self.now, &request, prefill_rate, candidates);
        self.outcomes.requests += 1;
        let Ok(placed) = placed else {
            self.outcomes.refused += 1;
            for engine in &self.engines {
                let load = self.loads.entry(&engine.id, 1);
                load.backlog.record_blocking(self.now);
            }
            return;
        };
        let load = self.loads.entry(&placed.id, 1);
        if placed.wait * 2 >= placed.bound {
            load.backlog.record_blocking(self.now);
        }
        load.on_sent(&placed.sent);
        let engine = self.engines.iter_mut().find(|e| e.id == placed.id);
        engine.expect("known engine").waiting.push_back(Stream {
            sent: placed.sent,
            uncached: tokens as f64,
            generated: 0,
            last_event: self.now,
            longest_pause: Duration::ZERO,
        });
    }

    fn work(&mut self, index: usize) {
        if self.now < self.engines[index].step_ends {
            return;
        }
        self.end_step(index);
        self.start_step(index);
    }

    fn end_step(&mut self, index: usize) {
        let now = self.now;
        let engine = &mut self.engines[index];
        let load = self.loads.entry(&engine.id, 1);
        for mut started in engine.prefilled.drain(..) {
            self.outcomes.late += u32::from(now > started.sent.at + TARGET);
            load.on_first_event(now, &started.sent);
            started.last_event = now;
            engine.streams.push(started);
        }
        for stream in &mut engine.streams {
            stream.generated += 1;
            if stream.generated.is_multiple_of(TOKENS_PER_EVENT) {
                let pause = now - stream.last_event;
                load.backlog.observe_pause(now, pause, GAP);
                stream.longest_pause = stream.longest_pause.max(pause);
                stream.last_event = now;
            }
        }
        for finished in engine
            .streams
            .extract_if(.., |s| s.generated >= ANSWER_TOKENS)
        {
            self.outcomes.stalled += u32::from(finished.longest_pause > GAP);
            load.on_finished(&finished.sent, true);
        }
    }

    fn start_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let mut left = self.kind.max_step_tokens;
        let mut all = 0.0;
        while let Some(first) = engine.waiting.front_mut() {
            let read = first.uncached.min(left);
            first.uncached -= read;
            left -= read;
            all += read;
            if first.uncached > 0.0 {
                break;
            }
            engine.prefilled.extend(engine.waiting.pop_front());
        }
        let took_ms = self.kind.step_ms + all / self.kind.tokens_per_ms;
        engine.step_ends = self.now + Duration::from_secs_f64(took_ms / 1e3);
    }
}

fn ratio(count: u32, total: u32) -> f64 {
    f64::from(count) / f64::from(total.max(1))
}

/// Bursts of short and long prompts stall streams at engines that prefill the whole backlog in one
/// step. The backlog limit prevents most stalls with fewer refusals.
#[googletest::test]
fn streams_do_not_stall_during_prefill() {
    let simulate = |gap| {
        let mut fleet = Fleet::new(GREEDY, gap);
        fleet.simulate(0.5, Duration::from_secs(10));
        fleet.simulate(0.5, Duration::from_secs(30))
    };
    let (before, after) = (simulate(None), simulate(Some(GAP)));
    expect_that!(ratio(before.stalled, before.requests), gt(0.4));
    expect_that!(after.stalled * 3, lt(before.stalled));
    let avoided = before.stalled - after.stalled;
    expect_that!(after.refused * 2, lt(avoided), "refusals per stall avoided");
    expect_that!(ratio(after.late, after.requests), lt(0.01));
}

/// Engines with chunked prefill near their capacity have no stalls: within seconds the limit does
/// not refuse more than the target alone.
#[googletest::test]
fn engines_with_chunked_prefill_are_filled() {
    let simulate = |gap| {
        let mut fleet = Fleet::new(CHUNKED, gap);
        fleet.simulate(0.75, Duration::from_secs(20));
        fleet.simulate(0.75, Duration::from_secs(30))
    };
    let (before, after) = (simulate(None), simulate(Some(GAP)));
    expect_that!(after.stalled, eq(0));
    let refused = |outcomes: &Outcomes| ratio(outcomes.refused, outcomes.requests);
    expect_that!(refused(&after), le(refused(&before) + 0.01));
}

/// The limit falls and recovers with the speed of an engine; a crash leaves it unchanged.
#[googletest::test]
fn the_limit_follows_the_speed_of_an_engine() {
    let at = Duration::from_millis;
    let mut limit = BacklogLimit::default();
    let start = limit.get(GAP);
    for now in (0..2_000).step_by(100) {
        limit.observe_pause(at(now), at(290), GAP);
    }
    let slow = limit.get(GAP);
    expect_that!(slow, lt(start / 2));
    limit.observe_pause(at(2_500), at(4_000), GAP);
    expect_that!(limit.get(GAP), eq(slow));
    for now in (3_000..20_000).step_by(100) {
        limit.record_blocking(at(now));
    }
    expect_that!(limit.get(GAP), gt(start));
}

/// All streams of an engine pause together: the limit is cut once for all of them.
#[googletest::test]
fn one_pause_is_counted_once() {
    let at = Duration::from_millis;
    let mut limit = BacklogLimit::default();
    limit.observe_pause(at(1_000), at(280), GAP);
    let once = limit.get(GAP);
    for _ in 0..30 {
        limit.observe_pause(at(1_010), at(280), GAP);
    }
    expect_that!(limit.get(GAP), eq(once));
}
