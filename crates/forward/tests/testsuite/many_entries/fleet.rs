//! Simulated entries with delayed reports, and engines that prefill prompts in order.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{FleetLoad, SentRequest, UpstreamLoads};
use coltsfootnotch_forward::place::{
    Candidate, PlacementRequest, PrefillRate, Prompt, place_engine,
};
use coltsfootnotch_forward::share::FairShares;
use coltsfootnotch_wire::EntryLoadReport;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Prefill rate of one engine.
const PREFILL_RATE: PrefillRate = PrefillRate {
    tokens_per_ms: 112.0,
    base_ms: 35.0,
};
/// Shortest target of the service's routes.
pub(super) const TARGET: Duration = Duration::from_millis(400);
/// Time between two reports of an entry and two broadcasts of the control host.
const PERIOD_MS: u64 = 100;
/// Duration of an answer after its first event.
const ANSWER: Duration = Duration::from_millis(300);
const DOMAIN: &str = "north";

/// Outcomes of an account's requests.
#[derive(Debug, Clone, Default)]
pub(super) struct Outcomes {
    pub(super) requests: u32,
    pub(super) refused: u32,
    pub(super) late: u32,
    /// Admitted service units.
    pub(super) units: u64,
}

struct Running {
    entry: usize,
    engine: usize,
    sent: SentRequest,
    first_event_at: Duration,
    has_started: bool,
}

struct Entry {
    loads: UpstreamLoads,
    shares: FairShares,
}

/// Entries, engines, and the control host between the entries.
pub(super) struct Fleet {
    entries: Vec<Entry>,
    engines: Vec<Arc<str>>,
    free_at: Vec<Duration>,
    idle: Duration,
    running: Vec<Running>,
    control: FleetLoad<usize>,
    /// Reports in transit to the entries.
    in_transit: Vec<EntryLoadReport>,
    rng: StdRng,
    now: Duration,
}

/// Load of an account, in requests per second over the whole fleet.
pub(super) struct Load {
    pub(super) account: Arc<str>,
    pub(super) per_s: f64,
}

impl Fleet {
    pub(super) fn new(entries: usize, engines: usize) -> Self {
        let engines: Vec<Arc<str>> = (0..engines).map(|n| format!("engine-{n}").into()).collect();
        let capacity = engines.len() as f64 * PREFILL_RATE.tokens_per_ms * 1e3;
        let entry = || {
            let mut shares = FairShares::default();
            shares.set_capacity(capacity);
            let mut loads = UpstreamLoads::default();
            for id in &engines {
                loads.entry(id, 1);
            }
            Entry { loads, shares }
        };
        Self {
            entries: (0..entries).map(|_| entry()).collect(),
            free_at: vec![Duration::ZERO; engines.len()],
            engines,
            idle: Duration::ZERO,
            running: Vec::new(),
            control: FleetLoad::default(),
            in_transit: Vec::new(),
            rng: StdRng::seed_from_u64(7),
            now: Duration::ZERO,
        }
    }

    /// Service units per second that the engines can prefill.
    pub(super) fn capacity(&self) -> f64 {
        self.engines.len() as f64 * PREFILL_RATE.tokens_per_ms * 1e3
    }

    /// Simulates a load for a time. Returns the outcomes by account, and the share of the time that
    /// engines were idle.
    pub(super) fn simulate(&mut self, loads: &[Load], time: Duration) -> (Vec<Outcomes>, f64) {
        let mut outcomes = vec![Outcomes::default(); loads.len()];
        self.idle = Duration::ZERO;
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(1);
            self.work();
            if self.now.as_millis().is_multiple_of(u128::from(PERIOD_MS)) {
                self.exchange_reports();
            }
            for (load, outcomes) in loads.iter().zip(&mut outcomes) {
                let mut due = load.per_s / 1e3;
                while due > 0.0 {
                    if self.rng.random_bool(due.min(1.0)) {
                        self.send_request(&load.account, outcomes);
                    }
                    due -= 1.0;
                }
            }
        }
        let all = time.as_secs_f64() * self.engines.len() as f64;
        (outcomes, self.idle.as_secs_f64() / all)
    }

    fn send_request(&mut self, account: &Arc<str>, outcomes: &mut Outcomes) {
        let entry = self.rng.random_range(0..self.entries.len());
        // Uncached tokens of three kinds of prompt.
        let tokens = [543, 1_800, 1_800, 2_890, 2_890][self.rng.random_range(0..5)];
        let prompt = Prompt {
            tokens,
            output_tokens: 0,
            shared: Vec::new(),
        };
        let tie_breaker = self.rng.random();
        let Entry { loads, shares } = &mut self.entries[entry];
        let units = prompt.service_units();
        shares.record_requested(self.now, account, units);
        outcomes.requests += 1;
        let request = PlacementRequest {
            prompt: &prompt,
            pressure: shares.pressure(self.now, account),
            fair_fraction: shares.fair_fraction(self.now, account),
            shortest_target: TARGET,
            shortest_gap: None,
            domain: DOMAIN,
            tie_breaker,
            avoid: &[],
        };
        let candidates = self.engines.iter().map(|id| Candidate {
            id,
            domain: DOMAIN,
            slots: 128,
            memory_tokens: 694_599,
            load: loads.get(id, 1).expect("known engine"),
        });
        let Ok(placed) = place_engine(self.now, &request, PREFILL_RATE, candidates) else {
            outcomes.refused += 1;
            return;
        };
        shares.record_admitted(self.now, account, units);
        outcomes.units += units;
        loads.entry(&placed.id, 1).on_sent(&placed.sent);
        let engine = self.engines.iter().position(|id| *id == placed.id);
        let engine = engine.expect("known engine");
        let reading = Duration::from_secs_f64(tokens as f64 / PREFILL_RATE.tokens_per_ms / 1e3);
        self.free_at[engine] = self.free_at[engine].max(self.now) + reading;
        let first_event_at = self.free_at[engine] + Duration::from_millis(35);
        outcomes.late += u32::from(first_event_at > self.now + TARGET);
        self.running.push(Running {
            entry,
            engine,
            sent: placed.sent,
            first_event_at,
            has_started: false,
        });
    }

    fn work(&mut self) {
        let now = self.now;
        let idle = self.free_at.iter().filter(|free| **free < now).count();
        self.idle += Duration::from_millis(idle as u64);
        for run in &mut self.running {
            let id = &self.engines[run.engine];
            let load = self.entries[run.entry].loads.entry(id, 1);
            if !run.has_started && run.first_event_at <= now {
                load.on_first_event(now, &run.sent);
                run.has_started = true;
            }
            if run.has_started && run.first_event_at + ANSWER <= now {
                load.on_finished(&run.sent, true);
                load.on_succeeded(now);
            }
        }
        self.running
            .retain(|run| !run.has_started || run.first_event_at + ANSWER > now);
    }

    /// Exchanges reports: they reach the control host now, and the other entries a period later.
    fn exchange_reports(&mut self) {
        let now = self.now;
        for (entry, report) in self.entries.iter_mut().zip(self.in_transit.drain(..)) {
            entry.loads.apply_remote(now, &report, |_| 0);
            entry.shares.apply_remote(now, &report);
        }
        for (n, entry) in self.entries.iter_mut().enumerate() {
            let (upstreams, segments) = entry.loads.report();
            let accounts = entry.shares.report();
            let report = EntryLoadReport {
                upstreams,
                segments,
                accounts,
                ..EntryLoadReport::default()
            };
            self.control.record(now, n, report);
        }
        let totals = self.control.totals(now);
        let reports = (0..self.entries.len()).map(|n| self.control.excluding(now, &totals, &n));
        self.in_transit = reports.collect();
        self.control.start_period(now);
    }
}
