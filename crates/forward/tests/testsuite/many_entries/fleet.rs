//! Simulated entries with delayed reports, and engines that prefill prompts in order and cache them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{
    CachedSegments, FleetLoad, OwnReports, SentRequest, SubjectDemand, UpstreamLoads,
};
use coltsfootnotch_forward::place::{
    Candidate, CopyRate, Placement, PlacementRequest, PrefillRate, Prompt, place_engine,
};
use coltsfootnotch_forward::share::FairShares;
use coltsfootnotch_forward::upstream_notices::UpstreamNotices;
use coltsfootnotch_wire::EntryLoadReport;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::refusals::{Refusals, Refused};

/// Time to the first event of a cached prompt, in milliseconds.
const BASE_MS: f64 = 35.0;
/// Shortest target of the routes of most services.
pub(super) const TARGET: Duration = Duration::from_millis(400);
/// Share of an engine's memory that entries take for its prefix cache.
const CACHE_SHARE: f64 = 0.55;
/// Duration of an answer after its first event.
const ANSWER: Duration = Duration::from_millis(300);
const DOMAIN: &str = "north";
/// The run of each engine.
const RUN: u64 = 1;

/// Outcomes of an account's requests.
#[derive(Debug, Clone, Default)]
pub(super) struct Outcomes {
    pub(super) requests: u32,
    pub(super) refused: u32,
    pub(super) late: u32,
    /// Admitted service units.
    pub(super) units: u64,
}

/// What a simulated fleet consists of, and what its callers send.
#[derive(Debug, Clone, Copy)]
pub(super) struct Setup {
    pub(super) entries: usize,
    pub(super) engines: usize,
    /// Prefill rate of one engine.
    pub(super) tokens_per_ms: f64,
    /// Part of what the engines prefill that the operator states as their capacity.
    pub(super) stated_share: f64,
    /// Memory of one engine, shared by running requests and cached prompts.
    pub(super) memory_tokens: u64,
    /// Rate at which engines copy cached prompts from each other, if they can.
    pub(super) copy_rate: Option<CopyRate>,
    /// Shortest target of the service's routes.
    pub(super) target: Duration,
    /// Time between two reports of an entry and two broadcasts of the control host.
    pub(super) period_ms: u64,
    /// Draws the prompt of a request of an account.
    pub(super) prompt: fn(&mut StdRng, account: usize) -> Prompt,
}

/// A simulated engine.
#[derive(Default)]
struct Engine {
    free_at: Duration,
    /// Tokens that it has prefilled.
    prefilled: u64,
    /// Tokens of running requests.
    held: u64,
    cached: CachedSegments,
}

/// Tokens that all engines have prefilled.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Prefilled {
    pub(super) all: u64,
    /// Of shared segments that some engine had prefilled before.
    pub(super) repeated: u64,
}

struct Running {
    entry: usize,
    engine: usize,
    held: u64,
    sent: SentRequest,
    first_event_at: Duration,
    has_started: bool,
}

struct Entry {
    loads: UpstreamLoads,
    shares: FairShares,
    subjects: SubjectDemand,
    notices: UpstreamNotices,
    reports: OwnReports,
    /// Number of its last report.
    reported: u64,
}

/// A request that an entry is late to send.
struct Unsent {
    due: Duration,
    entry: usize,
    account: usize,
    prompt: Prompt,
    placed: Placement,
    /// Engines that have refused it.
    avoid: Vec<Arc<str>>,
}

/// Entries, engines, and the control host between the entries.
pub(super) struct Fleet {
    entries: Vec<Entry>,
    setup: Setup,
    ids: Vec<Arc<str>>,
    engines: Vec<Engine>,
    seen: HashSet<u64>,
    prefilled: Prefilled,
    idle: Duration,
    running: Vec<Running>,
    unsent: Vec<Unsent>,
    refusals: Refusals,
    send_delay: Duration,
    control: FleetLoad<usize>,
    /// Totals in transit to the entries, and the number of the last report of each that they include.
    in_transit: Option<(EntryLoadReport, Vec<u64>)>,
    rng: StdRng,
    now: Duration,
}

/// Load of an account, in requests per second over the whole fleet.
pub(super) struct Load {
    pub(super) account: Arc<str>,
    pub(super) per_s: f64,
}

impl Fleet {
    pub(super) fn new(setup: Setup) -> Self {
        let ids: Vec<Arc<str>> = (0..setup.engines)
            .map(|n| format!("engine-{n}").into())
            .collect();
        let capacity = setup.engines as f64 * setup.tokens_per_ms * 1e3;
        let entry = || {
            let mut shares = FairShares::default();
            shares.set_capacity(capacity * setup.stated_share);
            let mut loads = UpstreamLoads::default();
            for id in &ids {
                loads.entry(id, 1);
            }
            Entry {
                loads,
                shares,
                subjects: SubjectDemand::default(),
                notices: UpstreamNotices::default(),
                reports: OwnReports::default(),
                reported: 0,
            }
        };
        Self {
            entries: (0..setup.entries).map(|_| entry()).collect(),
            engines: ids.iter().map(|_| Engine::default()).collect(),
            setup,
            ids,
            seen: HashSet::new(),
            prefilled: Prefilled::default(),
            idle: Duration::ZERO,
            running: Vec::new(),
            unsent: Vec::new(),
            refusals: Refusals::new(setup.engines),
            send_delay: Duration::ZERO,
            control: FleetLoad::default(),
            in_transit: None,
            rng: StdRng::seed_from_u64(7),
            now: Duration::ZERO,
        }
    }

    pub(super) fn setup(&self) -> Setup {
        self.setup
    }

    /// Changes what callers send; the numbers of entries and engines stay.
    pub(super) fn set_up(&mut self, setup: Setup) {
        self.setup = setup;
    }

    /// Refusals by engines.
    pub(super) fn refusals(&mut self) -> &mut Refusals {
        &mut self.refusals
    }

    /// Sets how late entries send a request after its placement, at most.
    pub(super) fn set_send_delay(&mut self, delay: Duration) {
        self.send_delay = delay;
    }

    /// Service units per second that the engines can prefill.
    pub(super) fn capacity(&self) -> f64 {
        self.engines.len() as f64 * self.setup.tokens_per_ms * 1e3
    }

    /// Tokens prefilled in the last call of [`Fleet::simulate`].
    pub(super) fn prefilled(&self) -> Prefilled {
        self.prefilled
    }

    /// Simulates a load for a time. Returns the outcomes by account, and the share of the time that
    /// engines were idle.
    pub(super) fn simulate(&mut self, loads: &[Load], time: Duration) -> (Vec<Outcomes>, f64) {
        let mut outcomes = vec![Outcomes::default(); loads.len()];
        self.idle = Duration::ZERO;
        self.prefilled = Prefilled::default();
        let end = self.now + time;
        while self.now < end {
            self.step(&mut outcomes);
            for (account, (load, outcomes)) in loads.iter().zip(&mut outcomes).enumerate() {
                let mut due = load.per_s / 1e3;
                while due > 0.0 {
                    if self.rng.random_bool(due.min(1.0)) {
                        self.send_request(account, &load.account, outcomes);
                    }
                    due -= 1.0;
                }
            }
        }
        let all = time.as_secs_f64() * self.engines.len() as f64;
        (outcomes, self.idle.as_secs_f64() / all)
    }

    /// Simulates the next millisecond, without new requests.
    pub(super) fn step(&mut self, outcomes: &mut [Outcomes]) {
        self.now += Duration::from_millis(1);
        self.work();
        self.send_due(outcomes);
        let period = u128::from(self.setup.period_ms);
        if self.now.as_millis().is_multiple_of(period) {
            self.exchange_reports();
        }
    }

    /// Tokens that the busiest engine has prefilled, relative to the mean.
    pub(super) fn most_prefilled(&self) -> f64 {
        let engines = self.engines.iter().map(|engine| engine.prefilled);
        let (most, all) = engines.fold((0, 0), |(most, all), n| (n.max(most), all + n));
        most as f64 * self.engines.len() as f64 / all as f64
    }

    pub(super) fn now(&self) -> Duration {
        self.now
    }

    /// An entry's load relative to an even share of the load of all entries.
    pub(super) fn load_ratio(&mut self, entry: usize) -> f64 {
        let entries = self.entries.len() as f64;
        self.entries[entry].shares.local_share(self.now) * entries
    }

    fn send_request(&mut self, index: usize, account: &Arc<str>, outcomes: &mut Outcomes) {
        let entry = self.rng.random_range(0..self.entries.len());
        let prompt = (self.setup.prompt)(&mut self.rng, index);
        self.receive(entry, index, account, prompt, outcomes);
    }

    /// Has an entry handle a request of the account with this index and name.
    pub(super) fn receive(
        &mut self,
        entry: usize,
        index: usize,
        account: &Arc<str>,
        prompt: Prompt,
        outcomes: &mut Outcomes,
    ) {
        let units = prompt.service_units();
        let shares = &mut self.entries[entry].shares;
        shares.record_requested(self.now, account, units);
        outcomes.requests += 1;
        if let Some(subject) = prompt.subject() {
            self.entries[entry].subjects.record(self.now, subject.id);
        }
        let Some(placed) = self.place(entry, Some(account), &prompt, &[]) else {
            outcomes.refused += 1;
            return;
        };
        let shares = &mut self.entries[entry].shares;
        shares.record_admitted(self.now, account, units);
        let delay = if self.send_delay.is_zero() {
            Duration::ZERO
        } else {
            self.send_delay.mul_f64(self.rng.random())
        };
        let unsent = Unsent {
            due: self.now + delay,
            entry,
            account: index,
            prompt,
            placed,
            avoid: Vec::new(),
        };
        if delay.is_zero() {
            self.send(unsent, outcomes);
        } else {
            self.unsent.push(unsent);
        }
    }

    /// Places a request; `account` is given for its first placement only.
    fn place(
        &mut self,
        entry: usize,
        account: Option<&Arc<str>>,
        prompt: &Prompt,
        avoid: &[Arc<str>],
    ) -> Option<Placement> {
        let now = self.now;
        let tie_breaker = self.rng.random();
        let rate = self.prefill_rate();
        let Entry {
            loads,
            shares,
            subjects,
            notices,
            ..
        } = &mut self.entries[entry];
        let subject_per_s = prompt.subject().map_or(0.0, |subject| {
            subjects.per_s(now, subject.id, shares.local_share(now))
        });
        let request = PlacementRequest {
            prompt,
            pressure: account.and_then(|account| shares.pressure(now, account)),
            fair_fraction: account.map_or(1.0, |account| shares.fair_fraction(now, account)),
            shortest_target: self.setup.target,
            shortest_gap: None,
            subject_per_s,
            is_resumed: false,
            copy_rate: self.setup.copy_rate,
            domain: DOMAIN,
            tie_breaker,
            avoid,
        };
        let candidates = self.ids.iter().filter(|id| notices.accepts(now, id, RUN));
        let candidates = candidates.map(|id| Candidate {
            id,
            domain: DOMAIN,
            slots: 128,
            memory_tokens: self.setup.memory_tokens,
            load: loads.get(id, RUN).expect("known engine"),
        });
        let placed = place_engine(now, &request, rate, candidates).ok()?;
        loads.entry(&placed.id, RUN).on_sent(&placed.sent);
        let believed_cache = (self.setup.memory_tokens as f64 * CACHE_SHARE) as u64;
        loads.record_segments(now, &placed.id, &prompt.shared, believed_cache);
        Some(placed)
    }

    /// Sends the requests that are due.
    fn send_due(&mut self, outcomes: &mut [Outcomes]) {
        let now = self.now;
        let due: Vec<_> = self.unsent.extract_if(.., |u| u.due <= now).collect();
        for unsent in due {
            let account = unsent.account;
            self.send(unsent, &mut outcomes[account]);
        }
    }

    /// Sends a request to the engine where it was placed, and to others after refusals.
    fn send(&mut self, mut unsent: Unsent, outcomes: &mut Outcomes) {
        let now = self.now;
        while let Some(refused) = self.refused_at(&unsent) {
            let Entry { loads, notices, .. } = &mut self.entries[unsent.entry];
            let id = &unsent.placed.id;
            loads.entry(id, RUN).on_finished(&unsent.placed.sent, false);
            if let Some(time) = refused.backoff {
                notices.request_backoff(now, id, RUN, time);
            }
            unsent.avoid.push(id.clone());
            let placed = self.place(unsent.entry, None, &unsent.prompt, &unsent.avoid);
            let Some(placed) = placed else {
                outcomes.refused += 1;
                return;
            };
            unsent.placed = placed;
        }
        self.start(&unsent, outcomes);
    }

    /// The refusal of the engine, or of the entry if the engine asked for no requests meanwhile.
    fn refused_at(&mut self, unsent: &Unsent) -> Option<Refused> {
        let id = &unsent.placed.id;
        let notices = &self.entries[unsent.entry].notices;
        if !notices.accepts(self.now, id, RUN) {
            return Some(Refused { backoff: None });
        }
        let engine = self.engine(id);
        self.refusals.refuse(self.now, unsent.entry, engine)
    }

    fn engine(&self, id: &Arc<str>) -> usize {
        let engine = self.ids.iter().position(|other| other == id);
        engine.expect("known engine")
    }

    /// Has the engine run a request.
    fn start(&mut self, unsent: &Unsent, outcomes: &mut Outcomes) {
        let Unsent { prompt, placed, .. } = unsent;
        outcomes.units += prompt.service_units();
        let engine = self.engine(&placed.id);
        let source = placed.copy_from.as_ref().map(|source| self.engine(source));
        let first_event_at = self.prefill(engine, source, prompt);
        outcomes.late += u32::from(first_event_at > placed.sent.at + self.setup.target);
        self.running.push(Running {
            entry: unsent.entry,
            engine,
            held: held_tokens(prompt),
            sent: placed.sent,
            first_event_at,
            has_started: false,
        });
    }

    fn prefill_rate(&self) -> PrefillRate {
        PrefillRate {
            tokens_per_ms: self.setup.tokens_per_ms,
            base_ms: BASE_MS,
        }
    }

    /// Adds a prompt to the engine's queue, which copies what `source` has cached of it. Returns the
    /// time of its first event.
    fn prefill(&mut self, engine: usize, source: Option<usize>, prompt: &Prompt) -> Duration {
        let cached_at = |n: usize| self.engines[n].cached.cached_prefix_tokens(&prompt.shared);
        let present = cached_at(engine);
        let cached = source.map_or(present, |source| cached_at(source).max(present));
        let rate = self.setup.copy_rate.filter(|_| cached > present);
        let copy_ms = rate.and_then(|rate| rate.copy_ms(cached - present, self.prefill_rate()));
        let engine = &mut self.engines[engine];
        let mut skipped = cached;
        for segment in &prompt.shared {
            let is_cached = skipped >= u64::from(segment.tokens);
            skipped = skipped.saturating_sub(u64::from(segment.tokens));
            let is_new = self.seen.insert(segment.id);
            if !is_cached && !is_new {
                self.prefilled.repeated += u64::from(segment.tokens);
            }
        }
        let uncached = u64::from(prompt.tokens) - cached;
        self.prefilled.all += uncached;
        engine.prefilled += uncached;
        engine.held += held_tokens(prompt);
        let capacity = self.setup.memory_tokens.saturating_sub(engine.held);
        for segment in &prompt.shared {
            engine.cached.record(self.now, *segment, capacity);
        }
        let reading_ms = uncached as f64 / self.setup.tokens_per_ms + copy_ms.unwrap_or(0.0);
        let reading = Duration::from_secs_f64(reading_ms / 1e3);
        engine.free_at = engine.free_at.max(self.now) + reading;
        engine.free_at + Duration::from_millis(BASE_MS as u64)
    }

    fn work(&mut self) {
        let now = self.now;
        let idle = self.engines.iter().filter(|e| e.free_at < now).count();
        self.idle += Duration::from_millis(idle as u64);
        for run in &mut self.running {
            let starts = !run.has_started && run.first_event_at <= now;
            let ends = (run.has_started || starts) && run.first_event_at + ANSWER <= now;
            if !starts && !ends {
                continue;
            }
            let id = &self.ids[run.engine];
            let load = self.entries[run.entry].loads.entry(id, 1);
            if starts {
                load.on_first_event(now, &run.sent);
                run.has_started = true;
            }
            if ends {
                load.on_finished(&run.sent, true);
                load.on_succeeded(now);
                self.engines[run.engine].held -= run.held;
            }
        }
        self.running
            .retain(|run| !run.has_started || run.first_event_at + ANSWER > now);
    }

    /// Exchanges reports: they reach the control host now, and the other entries a period later.
    fn exchange_reports(&mut self) {
        let now = self.now;
        let believed_cache = (self.setup.memory_tokens as f64 * CACHE_SHARE) as u64;
        if let Some((totals, included)) = self.in_transit.take() {
            for (entry, included) in self.entries.iter_mut().zip(included) {
                let others = entry.reports.subtract(included, totals.clone());
                entry.loads.apply_remote(now, &others, |_| believed_cache);
                entry.shares.apply_remote(now, &others);
            }
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
            entry.reported = entry.reports.record(now, &report);
            self.control.record(now, n, 1, report);
        }
        let included = self.entries.iter().map(|entry| entry.reported).collect();
        self.in_transit = Some((self.control.take_totals(now), included));
    }
}

/// Tokens that a running request occupies besides its shared segments.
fn held_tokens(prompt: &Prompt) -> u64 {
    prompt.memory_tokens() - prompt.shared_tokens()
}
