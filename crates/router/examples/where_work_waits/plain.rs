//! The alternatives as plain policies: queues at the sidecars, and one dispenser for all.
//!
//! Both are told how many slots each upstream has, which late binding must find out.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use coltsfootnotch_decide::estimate::RunCharge;
use coltsfootnotch_decide::fair::{ChoicePolicy, FairnessMeter};
use coltsfootnotch_types::prelude::*;

use super::queue::{Host, Queue};
use super::sim::{Source, Truth};
use super::{ENTRIES, RATE, SIDECARS, SLOTS};

const TICK: Duration = Duration::from_millis(20);
/// Ticks between two load reports of a sidecar to each entry, and between two rounds of service.
const REPORT_EVERY: u64 = 5;
const RELAY_EVERY: u64 = 10;
/// One way between two hosts, in the mean.
const HOP: Duration = Duration::from_micros(1_750);
const PREFILL: Duration = Duration::from_millis(50);

/// Where requests wait.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    /// At the sidecar that was the least loaded on their arrival.
    Sidecars,
    /// At one dispenser, which knows all slots and all service.
    Dispenser,
}

#[derive(Clone, Copy)]
enum Event {
    Tick(u64),
    Arrive(usize),
    Queued { queue: usize, job: u64 },
    Start { s: usize, job: u64 },
    Finish { s: usize, job: u64 },
    Freed { s: usize },
}

pub(crate) struct Plain {
    place: Place,
    now: Duration,
    sources: Vec<Source>,
    pub(crate) truth: Truth,
    pub(crate) meter: FairnessMeter,
    pub(crate) messages: u64,
    pub(crate) started: u64,
    hosts: Vec<Host>,
    /// Load of each sidecar as each entry knows it.
    views: Vec<Vec<usize>>,
    queues: Vec<Queue>,
    charges: HashMap<u64, (usize, RunCharge)>,
    totals: BTreeMap<AccountName, ServiceUnits>,
    events: BTreeMap<(Duration, u64), Event>,
    numbers: u64,
    pool: PoolName,
}

impl Plain {
    pub(crate) fn new(place: Place, policy: ChoicePolicy, sources: Vec<Source>) -> Self {
        let queues = if place == Place::Sidecars {
            SIDECARS
        } else {
            1
        };
        let queue = |_| Queue::new(policy, &sources);
        let mut plain = Self {
            place,
            now: Duration::ZERO,
            truth: Truth::default(),
            meter: FairnessMeter::new(),
            messages: 0,
            started: 0,
            hosts: vec![Host::new(SLOTS); SIDECARS],
            views: vec![vec![0; SIDECARS]; ENTRIES],
            queues: (0..queues).map(queue).collect(),
            charges: HashMap::new(),
            totals: BTreeMap::new(),
            events: BTreeMap::new(),
            numbers: 0,
            pool: PoolName::new("pool").expect("a valid name"),
            sources,
        };
        plain.at(Duration::ZERO, Event::Tick(0));
        for source in 0..plain.sources.len() {
            plain.sources[source].seed(1, source);
            plain.schedule_arrival(source);
        }
        plain
    }

    pub(crate) fn run(&mut self, until: Duration) {
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

    pub(crate) fn restart_measures(&mut self) {
        self.meter = FairnessMeter::new();
        self.messages = 0;
        self.started = 0;
        for s in 0..SIDECARS {
            self.count_busy(s);
            self.hosts[s].busy = Duration::ZERO;
        }
    }

    /// Share of the slots that was used in the time measured.
    pub(crate) fn used(&mut self, time: Duration) -> f64 {
        (0..SIDECARS).for_each(|s| self.count_busy(s));
        let busy: Duration = self.hosts.iter().map(|host| host.busy).sum();
        busy.as_secs_f64() / time.as_secs_f64() / (SIDECARS * SLOTS) as f64
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.numbers += 1;
        self.events.insert((time, self.numbers), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(count) => self.tick(count),
            Event::Arrive(source) => {
                self.submit(source);
                self.schedule_arrival(source);
            }
            Event::Queued { queue, job } => {
                let account = self.account_of(job);
                let waiting = &mut self.queues[queue].waiting;
                waiting.entry(account.clone()).or_default().push_back(job);
                self.tell_queue(queue, &account);
                self.dispense(queue);
            }
            Event::Start { s, job } => self.start(s, job),
            Event::Finish { s, job } => self.finish(s, job),
            Event::Freed { s } => {
                self.hosts[s].free += 1;
                self.dispense(if self.place == Place::Sidecars { s } else { 0 });
            }
        }
    }

    fn schedule_arrival(&mut self, source: usize) {
        if let Some(gap) = self.sources[source].draw_gap() {
            self.at(self.now + gap, Event::Arrive(source));
        }
    }

    fn submit(&mut self, source: usize) {
        let of = &mut self.sources[source];
        let e = of.entries[of.sent % of.entries.len()];
        of.sent += 1;
        of.waiting += 1;
        let cost = of.draw_cost();
        let job = self.truth.submit(self.now, source, cost, false);
        let queue = match self.place {
            Place::Dispenser => 0,
            Place::Sidecars => {
                let view = &mut self.views[e];
                let least = (0..SIDECARS)
                    .min_by_key(|s| view[*s])
                    .expect("some sidecar");
                view[least] += 1;
                self.hosts[least].queued += 1;
                least
            }
        };
        // The dispenser is told of the request; at a sidecar the request itself arrives.
        self.messages += u64::from(self.place == Place::Dispenser);
        self.at(self.now + HOP, Event::Queued { queue, job });
    }

    /// Fills the free slots that a queue is for.
    fn dispense(&mut self, queue: usize) {
        loop {
            let free = match self.place {
                Place::Sidecars => (self.hosts[queue].free > 0).then_some(queue),
                Place::Dispenser => {
                    let freest = (0..SIDECARS).max_by_key(|s| self.hosts[*s].free);
                    freest.filter(|s| self.hosts[*s].free > 0)
                }
            };
            let chosen = self.queues[queue].ledger.choose(&self.pool).cloned();
            let Some((s, account)) = free.zip(chosen) else {
                return;
            };
            let waiting = self.queues[queue].waiting.get_mut(&account);
            let job = waiting.and_then(VecDeque::pop_front);
            let job = job.expect("the chosen account waits");
            let cost = ServiceUnits(self.truth.records[job as usize].cost);
            let charge = self.queues[queue].ledger.start(&account, Some(cost));
            self.charges.insert(job, (queue, charge));
            self.tell_queue(queue, &account);
            self.hosts[s].free -= 1;
            // The dispenser tells the entry, which sends the request on; a sidecar has it.
            let hops = if self.place == Place::Dispenser { 2 } else { 0 };
            self.messages += u64::from(self.place == Place::Dispenser);
            self.at(self.now + HOP * hops, Event::Start { s, job });
        }
    }

    fn start(&mut self, s: usize, job: u64) {
        self.count_busy(s);
        self.hosts[s].running += 1;
        self.hosts[s].queued = self.hosts[s].queued.saturating_sub(1);
        self.started += 1;
        let record = &mut self.truth.records[job as usize];
        record.first_start = Some(self.now);
        self.sources[record.source].waiting -= 1;
        let rate = if s == 0 { RATE / 2 } else { RATE };
        let takes = PREFILL + Duration::from_millis(record.cost * 1000 / rate);
        self.at(self.now + takes, Event::Finish { s, job });
    }

    fn finish(&mut self, s: usize, job: u64) {
        self.count_busy(s);
        self.hosts[s].running -= 1;
        let record = &self.truth.records[job as usize];
        let (source, cost) = (&self.sources[record.source], ServiceUnits(record.cost));
        self.meter
            .record_service(&source.account, source.weight, cost);
        if let Some((queue, mut charge)) = self.charges.remove(&job) {
            let ledger = &mut self.queues[queue].ledger;
            ledger.stream(&mut charge, cost);
            ledger.settle(charge);
        }
        let hops = if self.place == Place::Dispenser { 1 } else { 0 };
        self.messages += u64::from(self.place == Place::Dispenser);
        self.at(self.now + HOP * hops, Event::Freed { s });
    }

    fn tick(&mut self, count: u64) {
        self.at(self.now + TICK, Event::Tick(count + 1));
        for source in 0..self.sources.len() {
            for _ in self.sources[source].waiting..self.sources[source].backlog {
                self.submit(source);
            }
            let source = &self.sources[source];
            self.meter
                .set_backlogged(&source.account, source.weight, source.waiting > 0);
        }
        if self.place == Place::Sidecars && count.is_multiple_of(REPORT_EVERY) {
            let load = |host: &Host| host.running + host.queued;
            let loads: Vec<usize> = self.hosts.iter().map(load).collect();
            self.views = vec![loads; ENTRIES];
            self.messages += (ENTRIES * SIDECARS) as u64;
        }
        if count.is_multiple_of(RELAY_EVERY) {
            self.relay();
        }
    }

    fn relay(&mut self) {
        let totals = &mut self.totals;
        self.queues
            .iter_mut()
            .for_each(|queue| queue.report(totals));
        self.queues.iter_mut().for_each(|queue| queue.learn(totals));
    }

    fn tell_queue(&mut self, queue: usize, account: &AccountName) {
        let records = &self.truth.records;
        let arrived = |job: u64| records[job as usize].arrived;
        self.queues[queue].tell(self.now, &self.pool, account, arrived);
    }

    fn account_of(&self, job: u64) -> AccountName {
        let source = self.truth.records[job as usize].source;
        self.sources[source].account.clone()
    }

    fn count_busy(&mut self, s: usize) {
        self.hosts[s].count_busy(self.now);
    }
}
