//! Entries, sidecars and fake engines in virtual time, with links that delay, cross and break.

mod attempts;
mod engine;
mod entry;
mod events;
mod faults;
mod idle;
mod rounds;
mod source;
mod traffic;
mod truth;

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
use idle::Since;
pub(crate) use source::Source;
pub(crate) use traffic::Traffic;
pub(crate) use truth::{Ended, Truth};

pub(crate) const TICK: Duration = Duration::from_millis(20);
const RELAY_EVERY: u64 = 10;
const ANNOUNCE_EVERY: u64 = 25;

/// What a run of the harness is made with.
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
    /// Share of runs whose upstream can't be reached.
    pub(crate) unreachable: f64,
    /// Whether gaps are measured and idle slots beside waiting work panic.
    pub(crate) checked: bool,
    /// Whether gaps beyond the bound panic: for one pool, and hosts that hear of each other.
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
    /// Whether it hears of service elsewhere.
    pub(crate) relayed: bool,
    told_relay: HashMap<AccountName, ServiceUnits>,
    free_since: Since,
    /// The same for slots that are free or reserved.
    unfilled_since: Since,
}

/// One connection, as it is and as both ends see it; zero for none.
#[derive(Clone, Copy, Default)]
pub(crate) struct Link {
    pub(crate) id: u64,
    pub(crate) cut: bool,
    pub(crate) at_entry: u64,
    pub(crate) at_sidecar: u64,
    pub(crate) up_since: Duration,
    /// When the last control message each way arrives: a stream keeps its order.
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
    pub(crate) truth: Truth,
    pub(crate) meter: FairnessMeter,
    pub(crate) traffic: Traffic,
    events: BTreeMap<(Duration, u64), Event>,
    numbers: u64,
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
            truth: Truth::default(),
            meter,
            traffic: Traffic::default(),
            events: BTreeMap::new(),
            numbers: 0,
            totals: BTreeMap::new(),
            options,
        };
        for e in 0..sim.options.entries {
            let run = sim.number();
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
        sim.at(Duration::ZERO, Event::Tick(0));
        sim
    }

    pub(crate) fn pairs(&self) -> Vec<(usize, usize)> {
        let (entries, sidecars) = (self.options.entries, self.options.sidecars);
        let of = |e| (0..sidecars).map(move |s| (e, s));
        (0..entries).flat_map(of).collect()
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    pub(crate) fn pool(&self, index: usize) -> PoolName {
        let number = index % self.options.pools;
        PoolName::new(format!("pool-{number}")).expect("a valid name")
    }

    pub(crate) fn new_sidecar(&mut self, s: usize) -> Sidecar {
        let run = Incarnation(self.number());
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
            relayed: true,
            told_relay: HashMap::new(),
            free_since: None,
            unfilled_since: None,
        }
    }

    /// Runs for a time.
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

    /// Share of the engines' slots that was used since the last call, `time` ago.
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
        let of = &mut self.sources[source];
        let e = of.entries[of.sent % of.entries.len()];
        of.sent += 1;
        let (account, patience) = (of.account.clone(), of.patience);
        let cost = of.draw_cost();
        let (bookings, suspects) = (of.bookings, of.suspects);
        let booking = self.rng.random_bool(bookings);
        let suspect = self.rng.random_bool(suspects);
        let request = self.truth.submit(self.now, source, cost, booking);
        let waiting = QueuedRequest {
            request,
            attempt: 0,
            account,
            pool: self.pool(source),
            arrived: self.now,
            deadline: self.now + patience,
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
        self.at(self.now + TICK, Event::Tick(count + 1));
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
            self.check_idle();
        }
    }
}

/// The bound that the meter asserts. Windows look for the engines' slots and may overshoot twofold.
pub(crate) fn bound(options: &Options, sources: &[Source]) -> FairnessBound {
    let largest = sources.iter().map(|source| source.cost.1).max();
    FairnessBound {
        largest: ServiceUnits(largest.unwrap_or(1)),
        slots: (2 * options.sidecars * options.slots) as u32,
        slot_rate: ServiceUnits(options.rate),
        age: 2 * TICK * RELAY_EVERY as u32 + Duration::from_millis(100),
    }
}
