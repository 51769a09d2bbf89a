//! State that all requests share, and the placement of requests.

mod backlog;
mod crashes;
mod evacuations;
mod refusals;
mod streams;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::config::{Engine, ForwardConfig};
use coltsfootnotch_forward::lease::ConfigLease;
use coltsfootnotch_forward::load::{EntryCount, SubjectDemand, UpstreamLoads, warm_up_interval};
use coltsfootnotch_forward::place::{
    Candidate, CopyRate, Placement, PlacementRequest, Refusal, distance, place_engine, place_plain,
};
use coltsfootnotch_forward::registry::{
    Announcement, EvacuatedDomains, RegistryUpdate, Stage, UpstreamRegistry,
};
use coltsfootnotch_forward::retry::{EarlierRetries, PoisonRequests, RefusedSegments, RetryBudget};
use coltsfootnotch_forward::share::FairShares;
use coltsfootnotch_forward::streams::{StreamOrigin, StreamOrigins};
use coltsfootnotch_forward::upstream_notices::UpstreamNotices;
use coltsfootnotch_wire::{AbortRecord, CrashSuspects, EntryLoadReport, RetryHistory};

use super::engine_rates::EngineRates;
use super::messages::{Outcome, PlaceRequest, PlacementError, Ticket};
use super::shared_notices::SharedNotices;

/// Estimated share of an engine's memory that caches shared prompt segments. Running requests use
/// the rest.
const CACHE_SHARE: f64 = 0.55;

/// Entries that an upstream that warms up is shared with before their number is known: as many as there can be.
/// After a loss of power all entries start at once, and each would send as much as the whole fleet may.
const UNKNOWN_ENTRIES: u32 = u32::MAX;

/// Shortest target if no route states one.
const DEFAULT_TARGET: Duration = Duration::from_millis(800);

/// State that all requests share.
pub(super) struct State {
    pub(super) domain: Arc<str>,
    pub(super) registry: UpstreamRegistry,
    pub(super) evacuated: EvacuatedDomains,
    pub(super) notices: Arc<SharedNotices>,
    pub(super) loads: UpstreamLoads,
    pub(super) shares: FairShares,
    subjects: SubjectDemand,
    pub(super) retries: RetryBudget,
    pub(super) poison: PoisonRequests,
    pub(super) segments: RefusedSegments,
    /// Where streams began, at this entry or as control hosts reported.
    origins: StreamOrigins,
    /// Streams begun since the last report.
    begun: Vec<(u64, StreamOrigin)>,
    /// Streams that were placed at another origin than before, which control hosts have not been told.
    moved: Vec<(u64, StreamOrigin)>,
    pub(super) lease: ConfigLease,
    entries: EntryCount,
    /// When the load of the other entries was last received.
    remote_at: Duration,
    /// Differs between entries; spreads their requests to an upstream that warms up.
    entry_key: u64,
    engine_rates: EngineRates,
}

impl State {
    pub(super) fn new(
        domain: Arc<str>,
        entry_key: u64,
        retries: RetryBudget,
        lease: ConfigLease,
        notices: Arc<SharedNotices>,
    ) -> Self {
        Self {
            domain,
            entry_key,
            registry: UpstreamRegistry::default(),
            evacuated: EvacuatedDomains::default(),
            notices,
            loads: UpstreamLoads::default(),
            shares: FairShares::default(),
            subjects: SubjectDemand::default(),
            retries,
            poison: PoisonRequests::default(),
            segments: RefusedSegments::default(),
            origins: StreamOrigins::default(),
            begun: Vec::new(),
            moved: Vec::new(),
            lease,
            entries: EntryCount::default(),
            remote_at: Duration::ZERO,
            engine_rates: EngineRates::default(),
        }
    }

    /// When the load of the other entries was last received; zero for never.
    pub(super) fn load_received_at(&self) -> Duration {
        self.remote_at
    }

    /// Applies an announcement of an upstream.
    pub(super) fn on_announcement(
        &mut self,
        now: Duration,
        announcement: Announcement,
    ) -> RegistryUpdate {
        let (id, born_ms, service) = (
            announcement.id.clone(),
            announcement.born_ms,
            announcement.service.clone(),
        );
        let warming = announcement.warming;
        let update = self.registry.apply(now, announcement);
        if update != RegistryUpdate::Stale {
            let phase = distance(self.entry_key, &id);
            let load = self.loads.entry(&id, born_ms);
            load.warm_up.announce(now, warming, phase);
        }
        if update == RegistryUpdate::Changed {
            self.count_engines(service);
        }
        update
    }

    /// Removes notices of upstreams that hold no longer.
    pub(super) fn expire_notices(&self, now: Duration) {
        let is_known = |id: &str, born_ms: u64| {
            let upstream = self.registry.get(id);
            upstream.is_some_and(|u| u.announcement.born_ms == born_ms)
        };
        self.notices.lock().expire(now, is_known);
    }

    fn count_engines(&mut self, service: Arc<str>) {
        let engines = self.registry.ready(&service).count();
        self.engine_rates.record_ready(service, engines);
    }

    /// Places a request at an upstream.
    pub(super) fn place(
        &mut self,
        now: Duration,
        boot_now: Duration,
        config_number: u64,
        req: &PlaceRequest,
    ) -> Result<Ticket, PlacementError> {
        if req.account.is_some() && !self.lease.is_valid(boot_now, config_number) {
            return Err(PlacementError::NoLease);
        }
        if self.poison.is_refused(now, req.content) {
            return Err(PlacementError::PoisonRequest);
        }
        if self.segments.is_refused(now, &req.prompt.shared) {
            return Err(PlacementError::PoisonSegment);
        }
        let service = &req.config.services()[req.service];
        if service
            .engine
            .as_ref()
            .is_some_and(|e| !e.can_hold(&req.prompt))
        {
            // Its size isn't recorded as demand, by which the other requests of its account are refused.
            return Err(PlacementError::Refused(Refusal::too_large(), None));
        }
        let is_first = req.is_first();
        let is_new = req.is_new();
        if is_new {
            self.retries.on_request(now, &service.name);
        }
        let units = req.prompt.service_units();
        if let Some(account) = req.account.as_ref().filter(|_| is_new) {
            self.shares.record_requested(now, account, units);
        }
        let placement = match &service.engine {
            Some(engine) => self.place_engine(now, req, engine),
            None => self.place_plain(now, req),
        };
        let placement = placement.map_err(|refusal| self.refused(now, req, refusal))?;
        let entries = self.entries.sharing();
        if req.is_retry && !self.retries.try_acquire(now, &service.name, entries) {
            return Err(PlacementError::NoRetryBudget);
        }
        if let Some(account) = req.account.as_ref().filter(|_| is_first) {
            self.shares.record_admitted(now, account, units);
        }
        Ok(self.ticket(now, req, placement))
    }

    fn place_engine(
        &mut self,
        now: Duration,
        req: &PlaceRequest,
        engine: &Engine,
    ) -> Result<Placement, Refusal> {
        let service = &req.config.services()[req.service];
        // A retry was admitted before; refusing it for its account's share wastes the work done.
        let account = req.account.as_ref().filter(|_| !req.is_retry);
        if let Some(units) = req.config.units_per_s() {
            let available = self.available_share(&service.name);
            self.shares.set_capacity(units * available);
        }
        let pressure = account.and_then(|account| self.shares.pressure(now, account));
        let fair_fraction = account.map_or(1.0, |account| self.shares.fair_fraction(now, account));
        let prefill_rate = self.engine_rates.prefill_rate(&req.config, &service.name);
        let subject_per_s = self.subject_per_s(now, req);
        let request = PlacementRequest {
            prompt: &req.prompt,
            pressure,
            fair_fraction,
            shortest_target: req
                .config
                .shortest_target(req.service)
                .unwrap_or(DEFAULT_TARGET),
            shortest_gap: req.config.shortest_gap(req.service),
            subject_per_s,
            is_resumed: req.origin.is_some(),
            copy_rate: engine
                .copy_tokens_per_ms
                .map(|tokens_per_ms| CopyRate { tokens_per_ms }),
            domain: &self.domain,
            tie_breaker: req.tie_breaker,
            avoid: &req.avoid,
        };
        let notices = Arc::clone(&self.notices);
        let placement = place_engine(
            now,
            &request,
            prefill_rate,
            self.candidates(now, req, Some(engine), &notices.lock()),
        );
        self.record_blocking(now, &service.name, &placement);
        placement
    }

    /// Records the request and estimates the fleet's demand for its subject.
    fn subject_per_s(&mut self, now: Duration, req: &PlaceRequest) -> f64 {
        let Some(subject) = req.prompt.subject() else {
            return 0.0;
        };
        if req.is_new() {
            self.subjects.record(now, subject.id);
        }
        let local_share = self.shares.local_share(now);
        self.subjects.per_s(now, subject.id, local_share)
    }

    fn place_plain(&mut self, now: Duration, req: &PlaceRequest) -> Result<Placement, Refusal> {
        let notices = self.notices.lock();
        let candidates = self.candidates(now, req, None, &notices);
        place_plain(now, &self.domain, &req.avoid, req.tie_breaker, candidates)
    }

    /// The upstreams to which this entry may send a request now.
    fn candidates<'a>(
        &'a self,
        now: Duration,
        req: &'a PlaceRequest,
        engine: Option<&Engine>,
        notices: &'a UpstreamNotices,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let service = &req.config.services()[req.service];
        // A run of another version may have taken the place of one that broke off, unnoticed.
        let avoids_restarted =
            req.origin.is_some() && self.registry.sole_version(&service.name).is_none();
        let entries = self.entries.sharing().unwrap_or(UNKNOWN_ENTRIES);
        let interval = warm_up_interval(service.warm_up_per_s, entries);
        let memory_tokens = engine.map_or(0, |e| e.memory_tokens);
        let slots = engine.map(|e| e.slots);
        self.registry
            .ready(&service.name)
            .filter(|upstream| !self.evacuated.contains(&upstream.announcement.domain))
            .filter(|upstream| req.may_go_to(&upstream.announcement))
            .filter(move |upstream| !avoids_restarted || !upstream.may_have_restarted)
            .filter_map(move |upstream| {
                let announcement = &upstream.announcement;
                let load = self.loads.get(&announcement.id, announcement.born_ms)?;
                let accepts = notices.accepts(now, &announcement.id, announcement.born_ms)
                    && load.warm_up.admits(now, interval);
                accepts.then(|| Candidate {
                    id: &announcement.id,
                    domain: &announcement.domain,
                    slots: slots.unwrap_or(announcement.slots),
                    memory_tokens,
                    load,
                })
            })
    }

    fn ticket(&mut self, now: Duration, req: &PlaceRequest, placement: Placement) -> Ticket {
        let service = &req.config.services()[req.service];
        let upstream = self
            .registry
            .get(&placement.id)
            .expect("the request is placed at a registered upstream");
        let announcement = &upstream.announcement;
        assert_eq!(
            announcement.stage,
            Stage::Ready,
            "no requests are placed at a leaving upstream"
        );
        assert!(
            !self.evacuated.contains(&announcement.domain),
            "no requests are placed in an evacuated domain"
        );
        let (born_ms, address) = (announcement.born_ms, announcement.address);
        let origin = StreamOrigin::from(announcement);
        assert!(
            req.origin.as_ref().is_none_or(|began| *began == origin),
            "a stream goes on at the version that began it"
        );
        self.loads
            .entry(&placement.id, born_ms)
            .on_sent(&placement.sent);
        let capacity = service.engine.as_ref().map_or(0, cache_capacity);
        self.loads
            .record_segments(now, &placement.id, &req.prompt.shared, capacity);
        let source = placement.copy_from.as_deref();
        let source = source.and_then(|id| self.registry.get(id));
        let copy_from = source.map(|u| u.announcement.address);
        if let Some(stream) = req.stream {
            self.record_stream(now, stream, &origin);
        }
        let share = service.max_connections / self.entries.sharing().unwrap_or(1);
        Ticket {
            upstream: placement.id,
            born_ms,
            origin,
            address,
            copy_from,
            sent: placement.sent,
            content: req.content,
            prompt: Arc::clone(&req.prompt),
            is_stream: req.is_stream,
            stream: req.stream,
            is_repeated: !req.is_first(),
            connections: share.max(1) as usize,
        }
    }

    /// Handles the first event of a response.
    pub(super) fn on_first_event(&mut self, now: Duration, ticket: &Ticket) {
        if ticket.is_stream {
            self.on_answer(now, ticket);
        }
        if let Some(stream) = ticket.stream {
            self.record_origin(now, stream, &ticket.origin);
        }
        if let Some(load) = self.loads.get_mut(&ticket.upstream, ticket.born_ms) {
            load.on_first_event(now, &ticket.sent);
        }
    }

    /// Handles the end of an exchange.
    pub(super) fn on_finished(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        has_started: bool,
        outcome: Outcome,
    ) {
        // Only the first event of a stream is a part of its answer.
        let has_answered = has_started && ticket.is_stream;
        if matches!(
            outcome,
            Outcome::Broken | Outcome::Unreachable | Outcome::Silent
        ) {
            self.registry.mark_broken(&ticket.upstream, ticket.born_ms);
        }
        if outcome == Outcome::Broken && !has_answered {
            self.segments.record_crash(CrashSuspects::from(ticket));
        }
        if outcome == Outcome::Broken {
            let (content, run) = (ticket.content, run_digest(ticket));
            self.poison.record_local(now, AbortRecord { content, run });
        }
        if outcome == Outcome::Completed {
            self.poison.record_local_success(now, ticket.content);
            self.on_answer(now, ticket);
        }
        let Some(load) = self.loads.get_mut(&ticket.upstream, ticket.born_ms) else {
            return;
        };
        load.on_finished(&ticket.sent, has_started);
        match outcome {
            Outcome::Completed => load.on_succeeded(now),
            // A silence is reported as it begins.
            Outcome::Failed | Outcome::Broken | Outcome::Silent => load.on_failed(now),
            Outcome::Unreachable => load.on_unreachable(now),
            Outcome::NotRun | Outcome::Abandoned => {}
        }
    }

    /// Applies what a control host knows of the retries of earlier processes of this host; returns them if they
    /// are known now and were not before.
    pub(super) fn on_retry_history(
        &mut self,
        now: Duration,
        from: &str,
        history: &RetryHistory,
    ) -> Option<EarlierRetries> {
        // Entries that restart with this one still share the limit.
        if history.entries > 0 {
            self.entries.record(now, history.entries);
        }
        for refused in &history.refused {
            self.poison.record_refused(now, *refused);
        }
        self.retries.on_history(now, from, history)
    }

    /// Applies the load of the other entries.
    pub(super) fn apply_remote(
        &mut self,
        now: Duration,
        entries: u32,
        load: &EntryLoadReport,
        config: Option<&ForwardConfig>,
    ) {
        self.entries.record(now, entries);
        self.remote_at = now;
        self.shares.apply_remote(now, load);
        self.poison.apply_remote(now, load);
        let registry = &self.registry;
        let capacity = |upstream: &str| {
            let service = registry.get(upstream).map(|u| &u.announcement.service);
            let service = service.and_then(|name| config?.service(name));
            service
                .and_then(|s| s.engine.as_ref())
                .map_or(0, cache_capacity)
        };
        self.loads.apply_remote(now, load, capacity);
    }

    /// Number of entries that share limits; none while it is not known.
    pub(super) fn sharing_entries(&self) -> Option<u32> {
        self.entries.sharing()
    }

    /// This entry's demand relative to an even share of the demand at all entries.
    pub(super) fn load_ratio(&mut self, now: Duration) -> f64 {
        self.shares.local_share(now) * f64::from(self.entries.current().unwrap_or(1))
    }

    /// Has evidence of crashes that was reported lately reported again, to another control host.
    pub(super) fn repeat_crash_reports(&mut self, now: Duration) {
        self.poison.repeat_reports(now);
        self.segments.repeat_reports(now);
    }

    /// Load at this entry, and its changes since the last report.
    pub(super) fn report(&mut self, now: Duration) -> EntryLoadReport {
        let (upstreams, segments) = self.loads.report();
        let (aborts, cleared) = self.poison.report(now);
        EntryLoadReport {
            upstreams,
            accounts: self.shares.report(),
            segments,
            aborts,
            cleared,
            refused: self.poison.refused(now),
            crashes: self.segments.report(now),
        }
    }
}

/// Digest of the upstream and the start time of its process, the same at every entry.
fn run_digest(ticket: &Ticket) -> u64 {
    let mut hasher = DefaultHasher::new();
    ticket.upstream.hash(&mut hasher);
    ticket.born_ms.hash(&mut hasher);
    hasher.finish()
}

fn cache_capacity(engine: &Engine) -> u64 {
    (engine.memory_tokens as f64 * CACHE_SHARE) as u64
}
