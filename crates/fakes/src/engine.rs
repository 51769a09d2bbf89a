//! A fake model engine with continuous batching, a prefix cache and first-come, first-served order.

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
use crate::engine_orders;
use crate::http::{DropConnection, Reply, Req, empty, error, refusal};
use crate::latency::Latency;
use crate::prefix_cache::PrefixCache;
use crate::server::{Crasher, Server};
use crate::slots::{Occupancy, Slots};

/// Load samples kept for delayed reports.
const LOAD_SAMPLES: usize = 64;

pub(crate) struct State {
    pub(crate) stats: EngineStats,
    pub(crate) attempts: Attempts,
    pub(crate) cache: PrefixCache,
    pub(crate) models: Vec<String>,
    pub(crate) role: Option<String>,
    pub(crate) fence: u64,
    /// How often each prompt entered the batch. Unbounded, since the caller bounds a run.
    pub(crate) runs: HashMap<u64, u32>,
    slowdown: f64,
    leaving: bool,
    /// The pause that it asks for while it refuses all requests.
    refusing: Option<Duration>,
    unnamed_attempts: u64,
    load_samples: VecDeque<(Instant, Occupancy)>,
    rng: StdRng,
}

/// State shared by the handlers, the announcer and the handle of an engine.
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
            refusing: None,
            unnamed_attempts: 0,
            load_samples: VecDeque::new(),
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

    /// Generates an id for a request without one.
    pub(crate) fn next_attempt_id(&self) -> String {
        let mut state = self.lock();
        state.unnamed_attempts += 1;
        format!("unnamed-{}", state.unnamed_attempts)
    }

    /// The refusal of a request, while the engine refuses all.
    fn refusal(&self) -> Option<Reply> {
        let mut state = self.lock();
        let pause = state.refusing?;
        state.stats.refused += 1;
        Some(refusal(pause))
    }

    pub(crate) fn latency(&self) -> Latency {
        let slowdown = self.lock().slowdown;
        Latency {
            first_token: self.cfg.first_token.mul_f64(slowdown),
            per_prompt_token: self.cfg.per_prompt_token.mul_f64(slowdown),
            time_per_token: self.cfg.time_per_token.mul_f64(slowdown),
            queue_slowdown: self.cfg.queue_slowdown,
        }
    }

    /// Clears the state that a crash loses and takes the server down.
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
            busy_time: self.slots.busy_time(),
            uptime: self.started.elapsed(),
            ..self.lock().stats
        }
    }

    /// Returns the newest sample that is at least `load_lag` old.
    fn load_report(&self, state: &mut State) -> LoadReport {
        state
            .load_samples
            .push_back((Instant::now(), self.slots.occupancy()));
        if state.load_samples.len() > LOAD_SAMPLES {
            state.load_samples.pop_front();
        }
        let is_reportable = |at: &Instant| at.elapsed() >= self.cfg.load_lag;
        let sample = state
            .load_samples
            .iter()
            .rev()
            .find(|(at, _)| is_reportable(at));
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

/// A running fake engine, stopped on drop.
pub struct EngineHandle {
    engine: Arc<Engine>,
    server: Server,
    announcer: Option<Announcer>,
}

impl EngineHandle {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    /// Returns an error when no port or thread is available.
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
        let engine_clone = Arc::clone(&engine);
        let server = Server::start("fake-engine", |crasher| {
            move |req| route(Arc::clone(&engine_clone), crasher.clone(), req)
        })?;
        let address = server.address();
        let engine_clone = Arc::clone(&engine);
        let announcer = announce
            .map(|cfg| Announcer::start(cfg, move || engine_clone.announcement(address, cfg.ttl)))
            .transpose()?;
        Ok(Self {
            engine,
            server,
            announcer,
        })
    }

    /// Address on which the engine serves requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The name of the upstream.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.engine.cfg.name
    }

    /// The configuration of the engine.
    #[must_use]
    pub fn config(&self) -> &EngineConfig {
        &self.engine.cfg
    }

    /// Counters since the engine started.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.engine.stats()
    }

    /// Number of times that a request with this prompt entered the batch.
    #[must_use]
    pub fn runs(&self, prompt: &str) -> u32 {
        let id = prompt_id(prompt);
        self.engine.lock().runs.get(&id).copied().unwrap_or(0)
    }

    /// Number of announcements that the sidecar accepted.
    #[must_use]
    pub fn announced(&self) -> u64 {
        self.announcer.as_ref().map_or(0, Announcer::accepted)
    }

    /// Multiplies all latencies of the engine by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.engine.lock().slowdown = factor;
    }

    /// Sets whether announcements say that the engine is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.engine.lock().leaving = leaving;
    }

    /// Sets whether the engine refuses all requests, and the pause that it asks for with each refusal.
    pub fn set_refusing(&self, pause: Option<Duration>) {
        self.engine.lock().refusing = pause;
    }

    /// Crashes the engine: connections drop, state is lost, and the port is closed for `down`.
    pub fn crash(&self, down: Duration) {
        self.engine.crash(&self.server.crasher(), down);
    }

    /// Stops the announcer and the server and joins their threads.
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
        (&Method::POST, "/v1/chat/completions") => {
            if let Some(refusal) = engine.refusal() {
                return Ok(refusal);
            }
            completion::handle_completion(engine, crasher, req).await
        }
        (&Method::POST, "/v1/orders") => Ok(engine_orders::handle_order(&engine, req).await),
        (method, path) if path.starts_with("/v1/attempts/") => {
            let method = method.clone();
            Ok(engine_orders::handle_attempt(&engine, &method, path, req).await)
        }
        (&Method::GET, "/healthz") => Ok(empty(StatusCode::OK)),
        _ => Ok(error(StatusCode::NOT_FOUND, "no such path")),
    }
}
