//! What all requests share, and the decisions about them.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::config::{Engine, ForwardConfig};
use coltsfootnotch_forward::lease::ConfigLease;
use coltsfootnotch_forward::load::UpstreamLoads;
use coltsfootnotch_forward::place::{
    Candidate, Placement, PlacementRequest, PrefillRate, Refusal, place_engine, place_plain,
};
use coltsfootnotch_forward::registry::{Announcement, RegistryUpdate, Stage, UpstreamRegistry};
use coltsfootnotch_forward::retry::{PoisonRequests, RetryBudget};
use coltsfootnotch_forward::share::FairShares;
use coltsfootnotch_wire::{BreakWord, LoadWord};

use super::messages::{Ended, NotPlaced, Paused, PlaceAsk, Ticket};

/// Share of an engine's memory that is believed to keep shared parts. Running requests take the rest.
const KEPT_SHARE: f64 = 0.55;

/// Time to the first event of a prompt that need not be read: the engine's own, the way, a step that
/// was under way.
const BASE_MS: f64 = 35.0;

/// What reading takes of an engine's pace against the figure that the operator states for all
/// engines, which counts tokens made as well.
const READ_SHARE: f64 = 1.25;
/// Prompt tokens a millisecond where the operator states nothing; a medium engine of today.
const DEFAULT_PACE: f64 = 25.0;

/// Tightest target where no route states one.
const DEFAULT_TARGET: Duration = Duration::from_millis(800);

/// What all requests share.
pub(super) struct State {
    pub(super) domain: Arc<str>,
    pub(super) registry: UpstreamRegistry,
    pub(super) loads: UpstreamLoads,
    pub(super) shares: FairShares,
    pub(super) sends: RetryBudget,
    pub(super) broken: PoisonRequests,
    pub(super) lease: ConfigLease,
    pub(super) entries: u32,
    /// Most engines of a service seen at once: the operator's figure is for all of them, those that
    /// are down for the moment included.
    most_engines: HashMap<Arc<str>, usize>,
}

impl State {
    pub(super) fn new(domain: Arc<str>, sends: RetryBudget, lease: ConfigLease) -> Self {
        Self {
            domain,
            registry: UpstreamRegistry::default(),
            loads: UpstreamLoads::default(),
            shares: FairShares::default(),
            sends,
            broken: PoisonRequests::default(),
            lease,
            entries: 1,
            most_engines: HashMap::new(),
        }
    }

    /// Takes in what an upstream announced.
    pub(super) fn announced(&mut self, now: Duration, said: Announcement) -> RegistryUpdate {
        let (id, born_ms, service) = (said.id.clone(), said.born_ms, said.service.clone());
        let news = self.registry.apply(now, said);
        if news != RegistryUpdate::Stale {
            self.loads.entry(&id, born_ms);
        }
        if news == RegistryUpdate::Changed {
            self.count_engines(service);
        }
        news
    }

    fn count_engines(&mut self, service: Arc<str>) {
        let engines = self.registry.ready(&service).count();
        let most = self.most_engines.entry(service).or_default();
        *most = engines.max(*most);
    }

    /// Decides where a request goes.
    pub(super) fn place(
        &mut self,
        now: Duration,
        boot_now: Duration,
        newest: u64,
        ask: &PlaceAsk,
    ) -> Result<Ticket, NotPlaced> {
        if ask.account.is_some() && !self.lease.is_valid(boot_now, newest) {
            return Err(NotPlaced::NoLease);
        }
        if self.broken.is_refused(now, ask.content) {
            return Err(NotPlaced::Crashing);
        }
        let service = &ask.config.services()[ask.service];
        let is_first = ask.avoid.is_empty() && !ask.is_second;
        if is_first {
            self.sends.on_request(now, &service.name);
        }
        let units = ask.prompt.service_units();
        if let Some(account) = ask.account.as_ref().filter(|_| is_first) {
            self.shares.record_requested(now, account, units);
        }
        let placement = match &service.engine {
            Some(engine) => self.place_engine(now, ask, engine),
            None => self.place_plain(now, ask),
        };
        let placement = placement.map_err(NotPlaced::Refused)?;
        if ask.is_second && !self.sends.try_acquire(now, &service.name, self.entries) {
            return Err(NotPlaced::NoSecondSend);
        }
        if let Some(account) = ask.account.as_ref().filter(|_| is_first) {
            self.shares.record_admitted(now, account, units);
        }
        Ok(self.ticket(now, ask, placement))
    }

    fn place_engine(
        &mut self,
        now: Duration,
        ask: &PlaceAsk,
        engine: &Engine,
    ) -> Result<Placement, Refusal> {
        let service = &ask.config.services()[ask.service].name;
        // A request that was sent before has been let in: refused now, what was done for it is lost.
        let account = ask.account.as_ref().filter(|_| !ask.is_second);
        if let Some(units) = ask.config.units_per_s() {
            self.shares.set_capacity(units);
        }
        let pressure = account.and_then(|account| self.shares.pressure(now, account));
        let fair_fraction = account.map_or(1.0, |account| self.shares.fair_fraction(now, account));
        let pace = self.pace(&ask.config, service);
        let question = PlacementRequest {
            prompt: &ask.prompt,
            pressure,
            fair_fraction,
            shortest_target: ask
                .config
                .shortest_target(ask.service)
                .unwrap_or(DEFAULT_TARGET),
            shortest_gap: ask.config.shortest_gap(ask.service),
            domain: &self.domain,
            tie_breaker: ask.turn,
            avoid: &ask.avoid,
        };
        let placed = place_engine(now, &question, pace, self.candidates(service, Some(engine)));
        self.note_crowding(now, service, &placed);
        placed
    }

    /// Notes at which engines what may wait is in the way of requests.
    fn note_crowding(&mut self, now: Duration, service: &str, placed: &Result<Placement, Refusal>) {
        match placed {
            Ok(placed) if placed.wait * 2 >= placed.bound => {
                let born_ms = self
                    .registry
                    .get(&placed.id)
                    .map(|u| u.announcement.born_ms);
                let load = born_ms.and_then(|born| self.loads.get_mut(&placed.id, born));
                load.into_iter()
                    .for_each(|l| l.backlog.record_blocking(now));
            }
            Err(refused) if refused.is_saturated => {
                for upstream in self.registry.ready(service) {
                    let said = &upstream.announcement;
                    let load = self.loads.get_mut(&said.id, said.born_ms);
                    load.into_iter()
                        .for_each(|l| l.backlog.record_blocking(now));
                }
            }
            _ => {}
        }
    }

    /// A stream from an upstream had no event for a while; how much may wait there now, if that is less
    /// than before.
    pub(super) fn paused(&mut self, now: Duration, paused: &Paused) -> Option<Duration> {
        let load = self.loads.get_mut(&paused.upstream, paused.born_ms)?;
        let is_cut = load.backlog.observe_pause(now, paused.time, paused.borne);
        is_cut.then(|| load.backlog.get(paused.borne))
    }

    fn place_plain(&mut self, now: Duration, ask: &PlaceAsk) -> Result<Placement, Refusal> {
        let service = &ask.config.services()[ask.service].name;
        let candidates = self.candidates(service, None);
        place_plain(now, &self.domain, &ask.avoid, ask.turn, candidates)
    }

    fn candidates<'a>(
        &'a self,
        service: &'a str,
        engine: Option<&Engine>,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let memory_tokens = engine.map_or(0, |e| e.memory_tokens);
        let slots = engine.map(|e| e.slots);
        self.registry.ready(service).filter_map(move |upstream| {
            let said = &upstream.announcement;
            Some(Candidate {
                id: &said.id,
                domain: &said.domain,
                slots: slots.unwrap_or(said.slots),
                memory_tokens,
                load: self.loads.get(&said.id, said.born_ms)?,
            })
        })
    }

    fn ticket(&mut self, now: Duration, ask: &PlaceAsk, placement: Placement) -> Ticket {
        let service = &ask.config.services()[ask.service];
        let upstream = self
            .registry
            .get(&placement.id)
            .expect("placed at a known upstream");
        let said = &upstream.announcement;
        assert_eq!(
            said.stage,
            Stage::Ready,
            "no work for an upstream that leaves"
        );
        let (born_ms, address) = (said.born_ms, said.address);
        self.loads
            .entry(&placement.id, born_ms)
            .on_sent(&placement.sent);
        let room = service.engine.as_ref().map_or(0, kept_room);
        self.loads
            .record_segments(now, &placement.id, &ask.prompt.shared, room);
        let share = service.max_connections / self.entries.max(1);
        Ticket {
            upstream: placement.id,
            born_ms,
            address,
            sent: placement.sent,
            content: ask.content,
            connections: share.max(1) as usize,
        }
    }

    /// The first event of an answer has come.
    pub(super) fn begun(&mut self, now: Duration, ticket: &Ticket) {
        if let Some(load) = self.loads.get_mut(&ticket.upstream, ticket.born_ms) {
            load.on_first_event(now, &ticket.sent);
        }
    }

    /// An exchange is over.
    pub(super) fn over(&mut self, now: Duration, ticket: &Ticket, begun: bool, ended: Ended) {
        if ended == Ended::Broken {
            let (content, run) = (ticket.content, run_digest(ticket));
            self.broken.record_local(now, BreakWord { content, run });
        }
        if ended == Ended::Well {
            self.broken.record_local_success(ticket.content);
        }
        let Some(load) = self.loads.get_mut(&ticket.upstream, ticket.born_ms) else {
            return;
        };
        load.on_finished(&ticket.sent, begun);
        match ended {
            Ended::Well => load.on_succeeded(now),
            Ended::Failed | Ended::Broken => load.on_failed(now),
            Ended::Unreachable => load.on_unreachable(now),
            Ended::NotRun | Ended::Abandoned => {}
        }
    }

    /// Takes in what the other entries do.
    pub(super) fn take_fleet(
        &mut self,
        now: Duration,
        entries: u32,
        load: &LoadWord,
        config: Option<&ForwardConfig>,
    ) {
        self.entries = entries.max(1);
        self.shares.apply_remote(now, load);
        for broken in &load.broken {
            self.broken.record(now, *broken);
        }
        for content in &load.mended {
            self.broken.record_success(*content);
        }
        let registry = &self.registry;
        let room = |upstream: &str| {
            let service = registry.get(upstream).map(|u| &u.announcement.service);
            let service = service.and_then(|name| config?.service(name));
            service.and_then(|s| s.engine.as_ref()).map_or(0, kept_room)
        };
        self.loads.apply_remote(now, load, room);
    }

    /// How many times its even part this entry is asked for.
    pub(super) fn times_even_part(&mut self, now: Duration) -> f64 {
        self.shares.local_share(now) * f64::from(self.entries)
    }

    /// What this entry has and did since its last report.
    pub(super) fn report(&mut self) -> LoadWord {
        let (upstreams, parts) = self.loads.report();
        let (broken, mended) = self.broken.report();
        LoadWord {
            upstreams,
            accounts: self.shares.report(),
            parts,
            broken,
            mended,
        }
    }

    fn pace(&self, config: &ForwardConfig, service: &str) -> PrefillRate {
        let most = self.most_engines.get(service).copied().unwrap_or(0);
        let stated = config.units_per_s();
        let each = stated.map(|units| units * READ_SHARE / 1e3 / most.max(1) as f64);
        PrefillRate {
            tokens_per_ms: each.unwrap_or(DEFAULT_PACE).max(1.0),
            base_ms: BASE_MS,
        }
    }
}

/// Digest of the run of an upstream that a request was sent to, the same at every entry.
fn run_digest(ticket: &Ticket) -> u64 {
    let mut hasher = DefaultHasher::new();
    ticket.upstream.hash(&mut hasher);
    ticket.born_ms.hash(&mut hasher);
    hasher.finish()
}

fn kept_room(engine: &Engine) -> u64 {
    (engine.memory_tokens as f64 * KEPT_SHARE) as u64
}
