//! Simulation of a fleet of sidecars and a relay in steps of virtual time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use coltsfootnotch_decide::prelude::*;
use coltsfootnotch_types::prelude::*;
use rand::Rng;

use crate::report::Row;

const STEP: Duration = Duration::from_millis(100);
/// Tokens per step of a slot at normal speed.
const TOKENS: u64 = 5;
/// Steps between exchanges with the relay.
const RELAY_EVERY: u32 = 2;

/// Load of one account.
pub(crate) struct Source {
    pub(crate) account: AccountName,
    pub(crate) weight: Weight,
    /// Number of requests kept waiting at any time.
    pub(crate) flood: usize,
    /// Mean rate of random requests, per second.
    pub(crate) rate: f64,
    /// Minimum and maximum cost of a request.
    pub(crate) cost: (u64, u64),
    pub(crate) active: bool,
    /// Sidecars reachable by its entries; `None` for all.
    pub(crate) can_reach: Option<Vec<usize>>,
    pub(crate) waiting: VecDeque<QueuedRequest>,
    pub(crate) row: Row,
}

#[derive(Clone, Copy)]
pub(crate) struct QueuedRequest {
    arrived: Duration,
    cost: u64,
}

impl Source {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            account: AccountName::new(name).expect("a valid name"),
            weight: Weight::DEFAULT,
            flood: 0,
            rate: 0.0,
            cost: (100, 100),
            active: true,
            can_reach: None,
            waiting: VecDeque::new(),
            row: Row::new(name),
        }
    }

    fn can_reach(&self, sidecar: usize) -> bool {
        self.can_reach.as_ref().is_none_or(|r| r.contains(&sidecar))
    }
}

struct Run {
    source: usize,
    charge: RunCharge,
    used: u64,
    cost: u64,
}

pub(crate) struct Sidecar {
    ledger: FairLedger,
    runs: Vec<Run>,
    /// Service reported to the relay by the current process.
    reported: HashMap<AccountName, ServiceUnits>,
    pub(crate) connected: bool,
    pub(crate) slots: usize,
    /// Tokens per step of a slot.
    pub(crate) speed: u64,
}

#[derive(Clone, Copy)]
pub(crate) struct FleetOptions {
    pub(crate) policy: ChoicePolicy,
    pub(crate) sidecars: usize,
    pub(crate) slots: usize,
    /// Cost of the largest request, for the bound.
    pub(crate) largest: u64,
    /// Longest outage of a relay connection, for the bound.
    pub(crate) max_outage: Duration,
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) sources: Vec<Source>,
    pub(crate) sidecars: Vec<Sidecar>,
    pub(crate) meter: FairnessMeter,
    pub(crate) bound: FairnessBound,
    options: FleetOptions,
    /// Totals of the relay.
    relay: HashMap<AccountName, ServiceUnits>,
    pool: PoolName,
    steps: u32,
    busy: u64,
    offered: u64,
}

impl Fleet {
    pub(crate) fn new(options: FleetOptions, sources: Vec<Source>) -> Self {
        let bound = FairnessBound {
            largest: ServiceUnits(options.largest),
            slots: (options.sidecars * options.slots) as u32,
            slot_rate: ServiceUnits(TOKENS * 10),
            staleness: STEP * (2 * RELAY_EVERY + 1) + options.max_outage,
        };
        let mut fleet = Self {
            now: Duration::ZERO,
            sources,
            sidecars: Vec::new(),
            meter: FairnessMeter::new(),
            bound,
            options,
            relay: HashMap::new(),
            pool: PoolName::new("pool").expect("a valid name"),
            steps: 0,
            busy: 0,
            offered: 0,
        };
        let sidecars = (0..options.sidecars).map(|_| fleet.new_sidecar()).collect();
        fleet.sidecars = sidecars;
        fleet
    }

    fn new_sidecar(&self) -> Sidecar {
        let mut ledger = FairLedger::new(self.options.policy, self.bound.horizon());
        for source in &self.sources {
            ledger.set_weight(&source.account, source.weight);
        }
        Sidecar {
            ledger,
            runs: Vec::new(),
            reported: HashMap::new(),
            connected: true,
            slots: self.options.slots,
            speed: TOKENS,
        }
    }

    /// Restarts a sidecar without state; the requests of its runs return to the head of their
    /// queues.
    pub(crate) fn restart(&mut self, i: usize) {
        self.meter.on_restart();
        let fresh = self.new_sidecar();
        let old = std::mem::replace(&mut self.sidecars[i], fresh);
        for run in old.runs {
            let requeued = QueuedRequest {
                arrived: self.now,
                cost: run.cost,
            };
            self.sources[run.source].waiting.push_front(requeued);
        }
    }

    /// Asserts the bound from now on.
    pub(crate) fn assert_bound(&mut self) {
        self.meter = FairnessMeter::asserting(self.bound);
        self.offered = 0;
        self.busy = 0;
    }

    pub(crate) fn run(&mut self, time: Duration, rng: &mut impl Rng) {
        let end = self.now + time;
        while self.now < end {
            self.step(rng);
        }
    }

    fn step(&mut self, rng: &mut impl Rng) {
        self.now += STEP;
        self.steps += 1;
        self.generate_requests(rng);
        self.publish_backlogs();
        let first = rng.random_range(0..self.sidecars.len());
        for i in 0..self.sidecars.len() {
            self.start_runs((first + i) % self.sidecars.len());
        }
        self.record_backlogs();
        for i in 0..self.sidecars.len() {
            self.stream(i);
        }
        if self.steps.is_multiple_of(RELAY_EVERY) {
            self.exchange_service();
        }
    }

    fn generate_requests(&mut self, rng: &mut impl Rng) {
        for source in &mut self.sources {
            let random = rng.random_bool((source.rate * STEP.as_secs_f64()).min(1.0));
            let missing = source.flood.saturating_sub(source.waiting.len());
            let new = if source.active {
                missing + usize::from(random)
            } else {
                0
            };
            for _ in 0..new {
                let cost = rng.random_range(source.cost.0..=source.cost.1);
                source.waiting.push_back(QueuedRequest {
                    arrived: self.now,
                    cost,
                });
            }
        }
    }

    /// Called after starts, so that an account whose requests all started is not backlogged.
    fn record_backlogs(&mut self) {
        for source in &self.sources {
            let backlogged = !source.waiting.is_empty();
            self.meter
                .set_backlogged(&source.account, source.weight, backlogged);
        }
    }

    fn publish_backlogs(&mut self) {
        for (i, sidecar) in self.sidecars.iter_mut().enumerate() {
            for source in self.sources.iter().filter(|s| s.can_reach(i)) {
                let oldest = source.waiting.front().map(|w| w.arrived);
                let backlog = Backlog::new(source.waiting.len() as u32, oldest.unwrap_or_default());
                sidecar
                    .ledger
                    .set_backlog(&self.pool, &source.account, backlog, self.now);
            }
        }
    }

    /// Starts the oldest request of the first ranked account in each free slot.
    fn start_runs(&mut self, i: usize) {
        let any_waits = |s: &Source| s.can_reach(i) && !s.waiting.is_empty();
        while self.sidecars[i].runs.len() < self.sidecars[i].slots {
            let ranked = self.sidecars[i].ledger.ranked(&self.pool);
            let source_of = |a: &AccountName| self.sources.iter().position(|s| s.account == *a);
            let chosen = ranked
                .filter_map(source_of)
                .find(|s| any_waits(&self.sources[*s]));
            let Some(s) = chosen else {
                assert!(
                    !self.sources.iter().any(any_waits),
                    "no slot is idle while work waits"
                );
                return;
            };
            self.start(i, s);
        }
    }

    fn start(&mut self, i: usize, s: usize) {
        let source = &mut self.sources[s];
        let req = source.waiting.pop_front().expect("a request waits");
        source.row.waits.push(self.now - req.arrived);
        let ledger = &mut self.sidecars[i].ledger;
        let charge = ledger.start(&source.account, None);
        let oldest = source.waiting.front().map(|w| w.arrived);
        let backlog = Backlog::new(source.waiting.len() as u32, oldest.unwrap_or_default());
        ledger.set_backlog(&self.pool, &source.account, backlog, self.now);
        self.sidecars[i].runs.push(Run {
            source: s,
            charge,
            used: 0,
            cost: req.cost,
        });
    }

    fn stream(&mut self, i: usize) {
        let sidecar = &mut self.sidecars[i];
        self.offered += sidecar.slots as u64;
        self.busy += sidecar.runs.len() as u64;
        for mut run in std::mem::take(&mut sidecar.runs) {
            let units = ServiceUnits((run.cost - run.used).min(sidecar.speed));
            run.used += units.0;
            sidecar
                .ledger
                .stream(&mut run.charge, ServiceUnits(run.used));
            let source = &mut self.sources[run.source];
            source.row.served += units.0;
            self.meter
                .record_service(&source.account, source.weight, units);
            if run.used == run.cost {
                source.row.done += 1;
                sidecar.ledger.settle(run.charge);
            } else {
                sidecar.runs.push(run);
            }
        }
    }

    /// Exchanges service with the relay, for connected sidecars.
    fn exchange_service(&mut self) {
        for sidecar in self.sidecars.iter_mut().filter(|s| s.connected) {
            for (account, units) in sidecar.ledger.take_unsent() {
                *self.relay.entry(account.clone()).or_default() += units;
                *sidecar.reported.entry(account).or_default() += units;
            }
        }
        for sidecar in self.sidecars.iter_mut().filter(|s| s.connected) {
            let totals = self.sources.iter().map(|s| {
                let of = |m: &HashMap<_, ServiceUnits>| m.get(&s.account).map_or(0, |u| u.0);
                let remote = of(&self.relay) - of(&sidecar.reported);
                (&s.account, ServiceUnits(remote))
            });
            sidecar.ledger.merge_remote(totals);
        }
    }

    /// Largest measured gap, in units at weight 1.
    pub(crate) fn gap(&self) -> u64 {
        self.meter.largest_gap().map_or(0, |g| g.size.to_units().0)
    }

    /// Share of slots in use, per mille.
    pub(crate) fn utilisation(&self) -> u64 {
        self.busy * 1_000 / self.offered.max(1)
    }

    pub(crate) fn row(&self, name: &str) -> &Row {
        let source = self.sources.iter().find(|s| s.row.name == name);
        &source.expect("the account exists").row
    }
}
