//! Simulation of entries, sidecars and fake engines in virtual time, with faulty connections.

mod attempts;
mod engine;
mod entry;
mod events;
mod faults;
mod idle_check;
mod periodic;
mod request_log;
mod source;
mod traffic;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootnotch_decide::fair::{ChoicePolicy, FairnessBound, FairnessMeter};
use coltsfootnotch_router::{QueuedRequest, SidecarConfig, SidecarCore};
use coltsfootnotch_types::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) use engine::Engine;
pub(crate) use entry::{Entry, Request, Stage};
pub(crate) use events::Event;
use idle_check::Since;
pub(crate) use request_log::{Outcome, RequestLog};
pub(crate) use source::Source;
pub(crate) use traffic::Traffic;

pub(crate) const TICK: Duration = Duration::from_millis(20);
const RELAY_EVERY: u64 = 10;
const ANNOUNCE_EVERY: u64 = 25;

#[derive(Clone)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    pub(crate) sidecars: usize,
    pub(crate) pools: usize,
    pub(crate) slots: usize,
    /// Tokens a second of a slot.
    pub(crate) rate: u64,
    /// Least and greatest delay of a link one way, in microseconds.
    pub(crate) delay: (u64, u64),
    pub(crate) policy: ChoicePolicy,
    /// Share of runs whose upstream is unreachable.
    pub(crate) unreachable: f64,
    /// Whether to measure service gaps, and to panic on slots that idle while requests wait.
    pub(crate) checked: bool,
    /// Whether to panic on service gaps beyond the bound; it holds for one pool and linked hosts.
    pub(crate) bounded_gap: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 2,
            sidecars: 3,
            pools: 1,
            slots: 8,
            rate: 100,
            delay: (500, 10_000),
            policy: ChoicePolicy::Fair,
            unreachable: 0.0,
            checked: true,
            bounded_gap: true,
        }
    }
}

pub(crate) struct Sidecar {
    pub(crate) host: HostName,
    pub(crate) run: Incarnation,
    pub(crate) core: SidecarCore,
    pub(crate) engine: Engine,
    pub(crate) has_relay: bool,
    reported_service: HashMap<AccountName, ServiceUnits>,
    free_since: Since,
    /// As `free_since`, for slots that are free or reserved.
    unfilled_since: Since,
}

/// A connection and the connection number that each end holds; zero for none.
#[derive(Clone, Copy, Default)]
pub(crate) struct Link {
    pub(crate) id: u64,
    pub(crate) cut: bool,
    pub(crate) at_entry: u64,
    pub(crate) at_sidecar: u64,
    pub(crate) up_since: Duration,
    /// Arrival of the last control message each way; later ones must not overtake it.
    last: [Duration; 2],
}

pub(crate) struct Sim {
    pub(crate) options: Options,
    pub(crate) now: Duration,
    pub(crate) rng: StdRng,
    pub(crate) entries: Vec<Entry>,
    pub(crate) sidecars: Vec<Sidecar>,
    pub(crate) links: Vec<Vec<Link>>,
    pub(crate) sources: Vec<Source>,
    pub(crate) log: RequestLog,
    pub(crate) meter: FairnessMeter,
    pub(crate) traffic: Traffic,
    events: BTreeMap<(Duration, u64), Event>,
    last_number: u64,
    totals: BTreeMap<AccountName, ServiceUnits>,
}

impl Sim {
    pub(crate) fn new(options: Options, sources: Vec<Source>) -> Self {
        let bound = bound(&options, &sources);
        let meter = if options.bounded_gap && options.policy == ChoicePolicy::Fair {
            FairnessMeter::asserting(bound)
        } else {
            FairnessMeter::new()
        };
        let mut sim = Self {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(options.seed),
            entries: Vec::new(),
            sidecars: Vec::new(),
            links: vec![vec![Link::default(); options.sidecars]; options.entries],
            sources,
            log: RequestLog::default(),
            meter,
            traffic: Traffic::default(),
            events: BTreeMap::new(),
            last_number: 0,
            totals: BTreeMap::new(),
            options,
        };
        for e in 0..sim.options.entries {
            let run = sim.next_number();
            sim.entries.push(Entry::new(e, run));
        }
        for s in 0..sim.options.sidecars {
            let sidecar = sim.new_sidecar(s);
            sim.sidecars.push(sidecar);
        }
        for (e, s) in sim.pairs() {
            sim.connect(e, s);
        }
        for source in 0..sim.sources.len() {
            sim.sources[source].seed(sim.options.seed, source);
            sim.schedule_arrival(source);
        }
        sim.schedule(Duration::ZERO, Event::Tick(0));
        sim
    }

    pub(crate) fn pairs(&self) -> Vec<(usize, usize)> {
        let (entries, sidecars) = (self.options.entries, self.options.sidecars);
        let pairs_of = |e| (0..sidecars).map(move |s| (e, s));
        (0..entries).flat_map(pairs_of).collect()
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(crate) fn pool(&self, index: usize) -> PoolName {
        let number = index % self.options.pools;
        PoolName::new(format!("pool-{number}")).expect("a valid name")
    }

    pub(crate) fn new_sidecar(&mut self, s: usize) -> Sidecar {
        let run = Incarnation(self.next_number());
        let host = HostName::new(format!("sidecar-{s}")).expect("a valid name");
        let mut core = SidecarCore::new(SidecarConfig {
            host: host.clone(),
            incarnation: run,
            policy: self.options.policy,
            horizon: bound(&self.options, &self.sources).horizon(),
        });
        for source in &self.sources {
            core.fair_ledger_mut()
                .set_weight(&source.account, source.weight);
        }
        let pool = self.pool(s);
        let (slots, rate) = (self.options.slots, self.options.rate);
        Sidecar {
            engine: Engine::new(&format!("engine-{s}"), &pool, slots, rate),
            host,
            run,
            core,
            has_relay: true,
            reported_service: HashMap::new(),
            free_since: None,
            unfilled_since: None,
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(next) = self.events.first_entry() {
            if next.key().0 > until {
                break;
            }
            self.now = next.key().0;
            let event = next.remove();
            self.handle(event);
        }
        self.now = until;
    }

    /// Share of the engines' slots in use since the last call, `time` ago.
    pub(crate) fn take_utilisation(&mut self, time: Duration) -> f64 {
        let now = self.now;
        let engines = self.sidecars.iter_mut().map(|s| &mut s.engine);
        let (busy, slots) = engines.fold((0.0, 0.0), |(busy, slots), engine| {
            let used = engine.take_busy(now).as_secs_f64();
            (busy + used, slots + engine.slots as f64)
        });
        busy / (slots * time.as_secs_f64())
    }

    pub(crate) fn submit(&mut self, source: usize) {
        let sender = &mut self.sources[source];
        let e = sender.entries[sender.sent % sender.entries.len()];
        sender.sent += 1;
        let (account, timeout) = (sender.account.clone(), sender.timeout);
        let cost = sender.draw_cost();
        let (bookings, suspects) = (sender.bookings, sender.suspects);
        let booking = self.rng.random_bool(bookings);
        let suspect = self.rng.random_bool(suspects);
        let request = self.log.submit(self.now, source, cost, booking);
        let waiting = QueuedRequest {
            request,
            attempt: 0,
            account,
            pool: self.pool(source),
            arrived: self.now,
            deadline: self.now + timeout,
            estimate: ServiceUnits(cost),
            prefix: self.rng.random_range(0..20),
            repeatable: !booking,
            avoid: Vec::new(),
        };
        let state = Request {
            waiting: waiting.clone(),
            source,
            stage: Stage::Waiting { since: self.now },
            suspect,
        };
        self.sources[source].waiting += 1;
        self.entries[e].requests.insert(request, state);
        self.entries[e].core.submit(waiting);
        self.run_entry(e);
    }

    fn tick(&mut self, count: u64) {
        self.schedule(self.now + TICK, Event::Tick(count + 1));
        if count.is_multiple_of(ANNOUNCE_EVERY) {
            self.announce();
        }
        if count.is_multiple_of(RELAY_EVERY) {
            self.progress();
            self.relay();
        }
        for source in 0..self.sources.len() {
            for _ in self.sources[source].waiting..self.sources[source].backlog {
                self.submit(source);
            }
            let source = &self.sources[source];
            if !self.options.checked {
                continue;
            }
            self.meter
                .set_backlogged(&source.account, source.weight, source.waiting > 0);
        }
        for e in 0..self.entries.len() {
            self.entries[e].core.tick(self.now);
            self.run_entry(e);
        }
        for s in 0..self.sidecars.len() {
            self.sidecars[s].core.tick(self.now);
            self.run_sidecar(s);
        }
        if self.options.checked {
            self.check_idle_slots();
        }
    }
}

/// The bound that the meter asserts. Concurrency windows may overshoot the engines' slots twofold.
pub(crate) fn bound(options: &Options, sources: &[Source]) -> FairnessBound {
    let largest = sources.iter().map(|source| source.cost.1).max();
    FairnessBound {
        largest: ServiceUnits(largest.unwrap_or(1)),
        slots: (2 * options.sidecars * options.slots) as u32,
        slot_rate: ServiceUnits(options.rate),
        staleness: 2 * TICK * RELAY_EVERY as u32 + Duration::from_millis(100),
    }
}
