//! Baselines for the comparison: queues at the sidecars, and one central dispatcher.
//!
//! Both know the number of slots of each upstream, which late binding has to estimate.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use coltsfootnotch_decide::estimate::RunCharge;
use coltsfootnotch_decide::fair::{ChoicePolicy, FairnessMeter};
use coltsfootnotch_types::prelude::*;

use super::queue::{Host, Queue};
use super::sim::{RequestLog, Source};
use super::{ENTRIES, RATE, SIDECARS, SLOTS};

const TICK: Duration = Duration::from_millis(20);
/// Ticks between two load reports of a sidecar to each entry.
const REPORT_EVERY: u64 = 5;
/// Ticks between two exchanges of service totals.
const RELAY_EVERY: u64 = 10;
/// Mean delay between two hosts.
const ONE_WAY_DELAY: Duration = Duration::from_micros(1_750);
const PREFILL: Duration = Duration::from_millis(50);

/// Where requests wait.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueLocation {
    /// At the sidecar with the least load on arrival.
    Sidecars,
    /// At one central dispatcher, which knows all slots and all service.
    Dispatcher,
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

pub(crate) struct Baseline {
    location: QueueLocation,
    now: Duration,
    sources: Vec<Source>,
    pub(crate) log: RequestLog,
    pub(crate) meter: FairnessMeter,
    pub(crate) messages: u64,
    pub(crate) started: u64,
    hosts: Vec<Host>,
    /// Load of each sidecar as last reported to each entry.
    views: Vec<Vec<usize>>,
    queues: Vec<Queue>,
    charges: HashMap<u64, (usize, RunCharge)>,
    totals: BTreeMap<AccountName, ServiceUnits>,
    events: BTreeMap<(Duration, u64), Event>,
    last_number: u64,
    pool: PoolName,
}

impl Baseline {
    pub(crate) fn new(location: QueueLocation, policy: ChoicePolicy, sources: Vec<Source>) -> Self {
        let queues = if location == QueueLocation::Sidecars {
            SIDECARS
        } else {
            1
        };
        let queue = |_| Queue::new(policy, &sources);
        let mut baseline = Self {
            location,
            now: Duration::ZERO,
            log: RequestLog::default(),
            meter: FairnessMeter::new(),
            messages: 0,
            started: 0,
            hosts: vec![Host::new(SLOTS); SIDECARS],
            views: vec![vec![0; SIDECARS]; ENTRIES],
            queues: (0..queues).map(queue).collect(),
            charges: HashMap::new(),
            totals: BTreeMap::new(),
            events: BTreeMap::new(),
            last_number: 0,
            pool: PoolName::new("pool").expect("a valid name"),
            sources,
        };
        baseline.schedule(Duration::ZERO, Event::Tick(0));
        for source in 0..baseline.sources.len() {
            baseline.sources[source].seed(1, source);
            baseline.schedule_arrival(source);
        }
        baseline
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

    pub(crate) fn reset_measurements(&mut self) {
        self.meter = FairnessMeter::new();
        self.messages = 0;
        self.started = 0;
        for s in 0..SIDECARS {
            self.count_busy(s);
            self.hosts[s].busy = Duration::ZERO;
        }
    }

    /// Share of the slots in use over the measured `time`.
    pub(crate) fn utilisation(&mut self, time: Duration) -> f64 {
        (0..SIDECARS).for_each(|s| self.count_busy(s));
        let busy: Duration = self.hosts.iter().map(|host| host.busy).sum();
        busy.as_secs_f64() / time.as_secs_f64() / (SIDECARS * SLOTS) as f64
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.last_number += 1;
        self.events.insert((time, self.last_number), event);
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
                self.update_queue(queue, &account);
                self.fill_slots(queue);
            }
            Event::Start { s, job } => self.start(s, job),
            Event::Finish { s, job } => self.finish(s, job),
            Event::Freed { s } => {
                self.hosts[s].free += 1;
                self.fill_slots(if self.location == QueueLocation::Sidecars {
                    s
                } else {
                    0
                });
            }
        }
    }

    fn schedule_arrival(&mut self, source: usize) {
        if let Some(gap) = self.sources[source].draw_gap() {
            self.schedule(self.now + gap, Event::Arrive(source));
        }
    }

    fn submit(&mut self, source: usize) {
        let sender = &mut self.sources[source];
        let e = sender.entries[sender.sent % sender.entries.len()];
        sender.sent += 1;
        sender.waiting += 1;
        let cost = sender.draw_cost();
        let job = self.log.submit(self.now, source, cost, false);
        let queue = match self.location {
            QueueLocation::Dispatcher => 0,
            QueueLocation::Sidecars => {
                let view = &mut self.views[e];
                let least = (0..SIDECARS)
                    .min_by_key(|s| view[*s])
                    .expect("some sidecar");
                view[least] += 1;
                self.hosts[least].queued += 1;
                least
            }
        };
        // The dispatcher gets a message for the request; a sidecar gets the request itself.
        self.messages += u64::from(self.location == QueueLocation::Dispatcher);
        self.schedule(self.now + ONE_WAY_DELAY, Event::Queued { queue, job });
    }

    /// Starts requests of a queue while its hosts have free slots.
    fn fill_slots(&mut self, queue: usize) {
        loop {
            let free = match self.location {
                QueueLocation::Sidecars => (self.hosts[queue].free > 0).then_some(queue),
                QueueLocation::Dispatcher => {
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
            let job = job.expect("the chosen account has a waiting request");
            let cost = ServiceUnits(self.log.records[job as usize].cost);
            let charge = self.queues[queue].ledger.start(&account, Some(cost));
            self.charges.insert(job, (queue, charge));
            self.update_queue(queue, &account);
            self.hosts[s].free -= 1;
            // The dispatcher notifies the entry, which sends the request; a sidecar already has it.
            let hops = if self.location == QueueLocation::Dispatcher {
                2
            } else {
                0
            };
            self.messages += u64::from(self.location == QueueLocation::Dispatcher);
            self.schedule(self.now + ONE_WAY_DELAY * hops, Event::Start { s, job });
        }
    }

    fn start(&mut self, s: usize, job: u64) {
        self.count_busy(s);
        self.hosts[s].running += 1;
        self.hosts[s].queued = self.hosts[s].queued.saturating_sub(1);
        self.started += 1;
        let record = &mut self.log.records[job as usize];
        record.first_start = Some(self.now);
        self.sources[record.source].waiting -= 1;
        let rate = if s == 0 { RATE / 2 } else { RATE };
        let duration = PREFILL + Duration::from_millis(record.cost * 1000 / rate);
        self.schedule(self.now + duration, Event::Finish { s, job });
    }

    fn finish(&mut self, s: usize, job: u64) {
        self.count_busy(s);
        self.hosts[s].running -= 1;
        let record = &self.log.records[job as usize];
        let (source, cost) = (&self.sources[record.source], ServiceUnits(record.cost));
        self.meter
            .record_service(&source.account, source.weight, cost);
        if let Some((queue, mut charge)) = self.charges.remove(&job) {
            let ledger = &mut self.queues[queue].ledger;
            ledger.stream(&mut charge, cost);
            ledger.settle(charge);
        }
        let hops = if self.location == QueueLocation::Dispatcher {
            1
        } else {
            0
        };
        self.messages += u64::from(self.location == QueueLocation::Dispatcher);
        self.schedule(self.now + ONE_WAY_DELAY * hops, Event::Freed { s });
    }

    fn tick(&mut self, count: u64) {
        self.schedule(self.now + TICK, Event::Tick(count + 1));
        for source in 0..self.sources.len() {
            for _ in self.sources[source].waiting..self.sources[source].backlog {
                self.submit(source);
            }
            let source = &self.sources[source];
            self.meter
                .set_backlogged(&source.account, source.weight, source.waiting > 0);
        }
        if self.location == QueueLocation::Sidecars && count.is_multiple_of(REPORT_EVERY) {
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
        self.queues
            .iter_mut()
            .for_each(|queue| queue.merge_totals(totals));
    }

    fn update_queue(&mut self, queue: usize, account: &AccountName) {
        let records = &self.log.records;
        let arrived = |job: u64| records[job as usize].arrived;
        self.queues[queue].update_waiting(self.now, &self.pool, account, arrived);
    }

    fn account_of(&self, job: u64) -> AccountName {
        let source = self.log.records[job as usize].source;
        self.sources[source].account.clone()
    }

    fn count_busy(&mut self, s: usize) {
        self.hosts[s].count_busy(self.now);
    }
}
