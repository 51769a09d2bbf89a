//! A stand-in model engine: batches continuously, caches prefixes, knows no priorities.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coltsfootnotch_wire::announce::{AnnouncementBody, LoadReport, UpstreamKind};
use hyper::{Method, StatusCode};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::announcer::Announcer;
use crate::answer::prompt_id;
use crate::attempts::Attempts;
use crate::completion;
use crate::engine_config::{EngineConfig, EngineStats};
use crate::http::{DropConnection, Reply, Req, empty, error};
use crate::orders;
use crate::pace::Pace;
use crate::prefix_cache::PrefixCache;
use crate::server::{Crasher, Server};
use crate::slots::{Occupancy, Slots};

/// Load samples kept for late reports.
const LOAD_SAMPLES: usize = 64;

pub(crate) struct State {
    pub(crate) stats: EngineStats,
    pub(crate) attempts: Attempts,
    pub(crate) cache: PrefixCache,
    pub(crate) models: Vec<String>,
    pub(crate) role: Option<String>,
    pub(crate) fence: u64,
    /// How often each prompt entered the batch; kept whole, since a run is bounded by its caller.
    pub(crate) runs: HashMap<u64, u32>,
    slowdown: f64,
    leaving: bool,
    unnamed: u64,
    load: VecDeque<(Instant, Occupancy)>,
    rng: StdRng,
}

/// What the handlers, the announcer and the handle of one engine share.
pub(crate) struct Engine {
    pub(crate) cfg: EngineConfig,
    pub(crate) slots: Slots,
    state: Mutex<State>,
    started: Instant,
}

impl Engine {
    fn new(cfg: EngineConfig) -> Self {
        let state = State {
            stats: EngineStats::default(),
            attempts: Attempts::default(),
            cache: PrefixCache::new(cfg.prefix_capacity),
            models: cfg.models.clone(),
            role: None,
            fence: 0,
            runs: HashMap::new(),
            slowdown: 1.0,
            leaving: false,
            unnamed: 0,
            load: VecDeque::new(),
            rng: StdRng::seed_from_u64(cfg.seed),
        };
        Self {
            slots: Slots::new(cfg.slots),
            cfg,
            state: Mutex::new(state),
            started: Instant::now(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An id for a request that came without one.
    pub(crate) fn unnamed_attempt(&self) -> String {
        let mut state = self.lock();
        state.unnamed += 1;
        format!("unnamed-{}", state.unnamed)
    }

    pub(crate) fn pace(&self) -> Pace {
        let slowdown = self.lock().slowdown;
        Pace {
            first_token: self.cfg.first_token.mul_f64(slowdown),
            per_prompt_token: self.cfg.per_prompt_token.mul_f64(slowdown),
            token: self.cfg.token.mul_f64(slowdown),
            overfull_slowdown: self.cfg.overfull_slowdown,
        }
    }

    /// Loses what a crash loses and takes the server down.
    pub(crate) fn crash(&self, crasher: &Crasher, down: Duration) {
        let mut state = self.lock();
        state.stats.crashes += 1;
        state.attempts.clear();
        state.cache.clear();
        drop(state);
        crasher.crash(down);
    }

    fn stats(&self) -> EngineStats {
        let occupancy = self.slots.occupancy();
        EngineStats {
            slots: self.slots.size(),
            running: occupancy.running,
            waiting: occupancy.waiting,
            busy: self.slots.busy(),
            up: self.started.elapsed(),
            ..self.lock().stats
        }
    }

    /// The newest sample that is old enough to be reported.
    fn load_report(&self, state: &mut State) -> LoadReport {
        state
            .load
            .push_back((Instant::now(), self.slots.occupancy()));
        if state.load.len() > LOAD_SAMPLES {
            state.load.pop_front();
        }
        let old_enough = |at: &Instant| at.elapsed() >= self.cfg.load_lag;
        let sample = state.load.iter().rev().find(|(at, _)| old_enough(at));
        let Some((at, occupancy)) = sample else {
            return LoadReport::default();
        };
        LoadReport {
            running: occupancy.running,
            waiting: occupancy.waiting,
            age_ms: u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn announcement(&self, address: SocketAddr, ttl: Duration) -> AnnouncementBody {
        let mut state = self.lock();
        let load = self.load_report(&mut state);
        let State { cache, rng, .. } = &mut *state;
        let (lag, loss) = (self.cfg.cache_event_lag, self.cfg.cache_event_loss);
        let cache_events = cache.publish(lag, loss, rng);
        AnnouncementBody {
            name: self.cfg.name.clone(),
            pool: self.cfg.pool.clone(),
            kind: UpstreamKind::Engine,
            address: address.to_string(),
            capabilities: self.cfg.capabilities,
            models: state.models.clone(),
            load,
            cache_events,
            leaving: state.leaving,
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// A running stand-in engine; stops on drop.
pub struct EngineHandle {
    engine: Arc<Engine>,
    server: Server,
    announcer: Option<Announcer>,
}

impl EngineHandle {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    /// Returns the system's error when no port or thread is to be had.
    ///
    /// ```
    /// use coltsfootnotch_fakes::{EngineConfig, EngineHandle};
    /// let mut engine = EngineHandle::start(EngineConfig::new("spec-llm-1", "spec-llm"))?;
    /// assert_eq!(engine.stats().started, 0);
    /// engine.stop();
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(cfg: EngineConfig) -> io::Result<Self> {
        let announce = cfg.announce;
        let engine = Arc::new(Engine::new(cfg));
        let engine2 = Arc::clone(&engine);
        let server = Server::start("fake-engine", |crasher| {
            move |req| route(Arc::clone(&engine2), crasher.clone(), req)
        })?;
        let address = server.address();
        let engine2 = Arc::clone(&engine);
        let announcer = announce
            .map(|cfg| Announcer::start(cfg, move || engine2.announcement(address, cfg.ttl)))
            .transpose()?;
        Ok(Self {
            engine,
            server,
            announcer,
        })
    }

    /// Address that takes requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Name of the upstream.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.engine.cfg.name
    }

    /// How the engine was made.
    #[must_use]
    pub fn config(&self) -> &EngineConfig {
        &self.engine.cfg
    }

    /// What the engine has done so far.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.engine.stats()
    }

    /// How often a request with this prompt entered the batch.
    #[must_use]
    pub fn runs(&self, prompt: &str) -> u32 {
        let id = prompt_id(prompt);
        self.engine.lock().runs.get(&id).copied().unwrap_or(0)
    }

    /// Announcements that the sidecar has accepted.
    #[must_use]
    pub fn announced(&self) -> u64 {
        self.announcer.as_ref().map_or(0, Announcer::accepted)
    }

    /// Makes the engine work `factor` times as long on everything.
    pub fn set_slowdown(&self, factor: f64) {
        self.engine.lock().slowdown = factor;
    }

    /// Announces from now on that the engine is leaving, or that it stays after all.
    pub fn set_leaving(&self, leaving: bool) {
        self.engine.lock().leaving = leaving;
    }

    /// Crashes the engine: connections drop, state is lost, and the port is closed for `down`.
    pub fn crash(&self, down: Duration) {
        self.engine.crash(&self.server.crasher(), down);
    }

    /// Ends the announcements and the server, and joins their threads.
    pub fn stop(&mut self) {
        if let Some(announcer) = &mut self.announcer {
            announcer.stop();
        }
        self.server.stop();
    }
}

async fn route(engine: Arc<Engine>, crasher: Crasher, req: Req) -> Result<Reply, DropConnection> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => completion::answer(engine, crasher, req).await,
        (&Method::POST, "/v1/orders") => Ok(orders::answer(&engine, req).await),
        (method, path) if path.starts_with("/v1/attempts/") => {
            let method = method.clone();
            Ok(orders::attempt(&engine, &method, path, req).await)
        }
        (&Method::GET, "/healthz") => Ok(empty(StatusCode::OK)),
        _ => Ok(error(StatusCode::NOT_FOUND, "no such path")),
    }
}
