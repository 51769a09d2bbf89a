//! A fake order service that books without deduplicating and can lose a response after booking.
//!
//! Like a real order service without idempotency, it books every call. Bookings are counted by key, so
//! a call that was sent twice is detected as a duplicate booking.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coltsfootnotch_wire::announce::{AnnouncementBody, Capabilities, LoadReport, UpstreamKind};
use hyper::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::time::sleep;

use crate::announcer::Announcer;
use crate::http::{
    DropConnection, Reply, Req, empty, error, header, json, json_without_length, read_body,
};
use crate::order_book::OrderBook;
use crate::order_config::{AnswerEnd, OrderConfig, OrderStats};
use crate::server::Server;
use crate::slots::Slots;

struct State {
    /// Number of bookings of this replica by key.
    booked: BTreeMap<String, usize>,
    stats: OrderStats,
    leaving: bool,
    rng: StdRng,
}

struct Service {
    cfg: OrderConfig,
    slots: Slots,
    state: Mutex<State>,
    started: Instant,
}

impl Service {
    fn new(cfg: OrderConfig) -> Self {
        let state = State {
            booked: BTreeMap::new(),
            stats: OrderStats::default(),
            leaving: false,
            rng: StdRng::seed_from_u64(cfg.seed),
        };
        Self {
            slots: Slots::new(cfg.slots),
            cfg,
            state: Mutex::new(state),
            started: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stats(&self) -> OrderStats {
        let occupancy = self.slots.occupancy();
        OrderStats {
            slots: self.slots.size(),
            running: occupancy.running,
            waiting: occupancy.waiting,
            busy_time: self.slots.busy_time(),
            uptime: self.started.elapsed(),
            ..self.lock().stats
        }
    }

    fn announcement(&self, address: SocketAddr, ttl: Duration) -> AnnouncementBody {
        let occupancy = self.slots.occupancy();
        AnnouncementBody {
            name: self.cfg.name.clone(),
            pool: self.cfg.pool.clone(),
            kind: UpstreamKind::Service,
            address: address.to_string(),
            capabilities: Capabilities::default(),
            models: Vec::new(),
            load: LoadReport {
                running: occupancy.running,
                waiting: occupancy.waiting,
                age_ms: 0,
            },
            cache_events: Vec::new(),
            leaving: self.lock().leaving,
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// A running fake order service, stopped on drop.
pub struct OrderHandle {
    service: Arc<Service>,
    server: Server,
    announcer: Option<Announcer>,
}

impl OrderHandle {
    /// Starts an order service on a free loopback port.
    ///
    /// # Errors
    /// Returns an error when no port or thread is available.
    ///
    /// ```
    /// use coltsfootnotch_fakes::{OrderConfig, OrderHandle};
    /// let mut service = OrderHandle::start(OrderConfig::new("member-desk-1", "member-desk"))?;
    /// assert!(service.bookings().is_empty());
    /// service.stop();
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(cfg: OrderConfig) -> io::Result<Self> {
        let announce = cfg.announce;
        let service = Arc::new(Service::new(cfg));
        let service_clone = Arc::clone(&service);
        let server = Server::start("fake-orders", |_| {
            move |req| handle_request(Arc::clone(&service_clone), req)
        })?;
        let address = server.address();
        let service_clone = Arc::clone(&service);
        let announcer = announce
            .map(|cfg| Announcer::start(cfg, move || service_clone.announcement(address, cfg.ttl)))
            .transpose()?;
        Ok(Self {
            service,
            server,
            announcer,
        })
    }

    /// Address on which the service accepts calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The name of the upstream.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.service.cfg.name
    }

    /// Counters since the service started.
    #[must_use]
    pub fn stats(&self) -> OrderStats {
        self.service.stats()
    }

    /// Number of bookings of this replica by key. More than one over all replicas is a duplicate.
    #[must_use]
    pub fn bookings(&self) -> BTreeMap<String, usize> {
        self.service.lock().booked.clone()
    }

    /// Number of announcements that the sidecar accepted.
    #[must_use]
    pub fn announced(&self) -> u64 {
        self.announcer.as_ref().map_or(0, Announcer::accepted)
    }

    /// Sets whether announcements say that the service is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.service.lock().leaving = leaving;
    }

    /// Drops every connection and closes the port for `down`; bookings are kept.
    pub fn crash(&self, down: Duration) {
        self.server.crasher().crash(down);
    }

    /// Stops the announcer and the server and joins their threads.
    pub fn stop(&mut self) {
        if let Some(announcer) = &mut self.announcer {
            announcer.stop();
        }
        self.server.stop();
    }
}

async fn handle_request(service: Arc<Service>, req: Req) -> Result<Reply, DropConnection> {
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let key = header(&req, "idempotency-key").map(str::to_owned);
    let body = match read_body(req.into_body()).await {
        Ok(body) => body,
        Err(reply) => return Ok(reply),
    };
    let _slot = service.slots.acquire().await;
    service.lock().stats.calls += 1;
    sleep(service.cfg.delay).await;
    let mut state = service.lock();
    if state.rng.random_bool(service.cfg.fail_before) {
        state.stats.failed += 1;
        let message = "the service failed before it did anything";
        return Ok(error(StatusCode::INTERNAL_SERVER_ERROR, message));
    }
    if (&method, path.as_str()) == (&Method::POST, "/orders") {
        return book(&service.cfg, &mut state, key, &body);
    }
    drop(state);
    let mut book = service.cfg.store.lock();
    Ok(read_or_replace(&mut book, &method, &path, &body))
}

fn book(
    cfg: &OrderConfig,
    state: &mut State,
    key: Option<String>,
    body: &[u8],
) -> Result<Reply, DropConnection> {
    let Some(key) = key else {
        let message = "the header Idempotency-Key is missing";
        return Ok(error(StatusCode::BAD_REQUEST, message));
    };
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return Ok(error(
            StatusCode::BAD_REQUEST,
            "the order is not valid JSON",
        ));
    };
    let booking = cfg.store.lock().book(&key, order);
    *state.booked.entry(key).or_default() += 1;
    state.stats.booked += 1;
    if state.rng.random_bool(cfg.lose_answer) {
        state.stats.answers_lost += 1;
        return Err(DropConnection);
    }
    if state.rng.random_bool(cfg.fail_after) {
        state.stats.failed += 1;
        let message = "the service failed after it had booked";
        return Ok(error(StatusCode::INTERNAL_SERVER_ERROR, message));
    }
    let status = StatusCode::CREATED;
    Ok(match cfg.answer_end {
        AnswerEnd::Stated => json(status, &booking),
        AnswerEnd::Connection => json_without_length(status, &booking, 1.0),
        AnswerEnd::HalfThenConnection => json_without_length(status, &booking, 0.5),
    })
}

fn read_or_replace(book: &mut OrderBook, method: &Method, path: &str, body: &[u8]) -> Reply {
    if (method, path) == (&Method::GET, "/healthz") {
        return empty(StatusCode::OK);
    }
    let Some(rest) = path.strip_prefix("/orders/") else {
        return error(StatusCode::NOT_FOUND, "no such path");
    };
    let booking = match (method, rest.strip_prefix("by-key/")) {
        (&Method::GET, Some(key)) => book.by_key(key),
        (&Method::GET, None) => book.by_id(rest),
        (&Method::PUT, None) => match serde_json::from_slice::<Value>(body) {
            Ok(order) => book.replace(rest, order),
            Err(_) => return error(StatusCode::BAD_REQUEST, "the order is not valid JSON"),
        },
        _ => return error(StatusCode::METHOD_NOT_ALLOWED, "no such method here"),
    };
    match booking {
        Some(booking) => json(StatusCode::OK, booking),
        None => error(StatusCode::NOT_FOUND, "no such order"),
    }
}
