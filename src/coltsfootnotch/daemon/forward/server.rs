//! A request from its first byte to its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use coltsfootnotch_forward::awake::Awake;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use stakker::sync::Channel;
use tokio::sync::{oneshot, watch};

use super::answer;
use super::delivery::{Delivered, collect};
use super::dialect::{Dialect, InForce};
use super::exchange::{Answer, Exchanged, exchange, patience};
use super::messages::{ForwardMsg, NotPlaced, PlaceAsk, RETRY_SOON, Ticket};
use super::pool::Pool;
use super::requested::{Requested, digest};
use super::stream::{Opened, open};
use crate::core::HostCx;
use crate::util::boot_clock::BootClock;
use crate::util::connections::Connections;
use crate::util::events::{self, EventDef, Field};
use crate::util::http_server::{AnyResponse, read_body};
use crate::util::line_budget::LineBudget;

/// Share of the time left that a first try may take where a second is possible.
const FIRST_TRY_SHARE: f64 = 0.5;

/// One in so many requests, by its identity, has its routine lines written: the same on every host, so
/// that what is kept of a request is kept whole.
const SAMPLE_ONE_IN: u64 = 32;

/// Refusals written in a second. Making a line costs some 20 microseconds whether it is written or not;
/// in a flood of some hundred refusals a second on a small share of a core that is a tenth of all there
/// is.
pub(super) const REFUSAL_LINES: u16 = 50;

/// Why a host that is cut off from the control group refuses.
const NOT_CONFIRMED: &str = "the configuration is not confirmed";

/// What the tasks of all connections share.
pub(super) struct Gateway {
    pub(super) cx: HostCx,
    pub(super) dialect: Dialect,
    pub(super) config: watch::Receiver<InForce>,
    pub(super) tx: Channel<ForwardMsg>,
    pub(super) pool: Arc<Pool>,
    /// Refusals that are still written in this second.
    pub(super) refusals: LineBudget,
    /// Whether the configuration is surely the newest.
    pub(super) confirmed: Arc<AtomicBool>,
    pub(super) awake: Arc<Awake>,
    /// Whether callers are better off at another host.
    pub(super) overloaded: Arc<AtomicBool>,
    pub(super) connections: Arc<Connections>,
    /// Connections from which on callers are asked to close theirs after an answer: beyond the most
    /// that are taken, new callers would be turned away while idle connections are kept.
    pub(super) crowded: usize,
    pub(super) draw: fn() -> f64,
}

/// How a try at one upstream ended.
enum Tried {
    Done(AnyResponse),
    /// The upstream failed it: its answer, to be given unless another try does better.
    Failed(AnyResponse),
    /// It did not reach the upstream.
    Unreached,
    /// It did, and did not run.
    Rejected,
    /// It may have run.
    Lost,
}

impl Gateway {
    /// Answers one request.
    pub(super) async fn answer(
        self: Arc<Self>,
        req: Request<Incoming>,
        _peer: SocketAddr,
    ) -> AnyResponse {
        if self.awake.has_stood_still(BootClock.now()) {
            return answer::stood_still();
        }
        let arrived = Instant::now();
        match self.read(req, arrived).await {
            Ok(req) => {
                let req = Arc::new(req);
                let mut response = self.run(&req).await;
                self.count(&req, &response);
                let overloaded = self.overloaded.load(Ordering::Relaxed);
                if overloaded || self.connections.count() > self.crowded {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                response
            }
            Err(refused) => refused,
        }
    }

    /// Matches a request and reads its body.
    async fn read(
        &self,
        req: Request<Incoming>,
        arrived: Instant,
    ) -> Result<Requested, AnyResponse> {
        let config = self.config.borrow().clone();
        let Some(config) = config else {
            return Err(answer::not_run(
                "no configuration is in force yet",
                RETRY_SOON,
            ));
        };
        let (parts, body) = req.into_parts();
        if head_bytes(&parts) > config.bounds().header_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(answer::failure(status, "the headers are too large"));
        }
        let mut head = (self.dialect.read_request)(&parts.headers);
        let matched = config.route(host_of(&parts), parts.uri.path());
        let Some(matched) = matched else {
            return Err(self.unknown(StatusCode::NOT_FOUND, "no route"));
        };
        let (index, route) = (matched.index, matched.route);
        let account = match head.key.as_deref().and_then(|key| config.account(key)) {
            Some(account) => Some(account.name.clone()),
            None if config.needs_keys() && !route.public => {
                return Err(self.unknown(StatusCode::UNAUTHORIZED, "the key is not known"));
            }
            None => None,
        };
        let service = route.draw((self.draw)());
        let kept = head.patience.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + kept;
        let bounds = config.bounds();
        let body = read_body(body, bounds.body_bytes, kept)
            .await
            .map_err(|status| answer::failure(status, "the body can't be read"))?;
        let content = digest(&parts, account.as_deref(), &body);
        let prompt = Arc::new(std::mem::take(&mut head.prompt));
        Ok(Requested {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            head,
            config,
            route: index,
            service,
            account,
            prompt,
            content,
            deadline,
            arrived,
        })
    }

    /// The answer to a route or key that the configuration lacks. A host that can't be sure that its
    /// configuration is the newest does not say that there is none: a newer one may have it.
    fn unknown(&self, status: StatusCode, text: &str) -> AnyResponse {
        if self.confirmed.load(Ordering::Relaxed) {
            answer::failure(status, text)
        } else {
            answer::not_run(NOT_CONFIRMED, RETRY_SOON)
        }
    }

    /// Sends a request to upstreams until one has answered, or no other may be tried.
    async fn run(self: &Arc<Self>, req: &Arc<Requested>) -> AnyResponse {
        let mut avoid = Vec::new();
        // Upstreams that the request reached, and those of them that may have run it.
        let (mut arrivals, mut sends) = (0, 0);
        let mut answer = None;
        loop {
            let ticket = match self.place(req, &avoid, arrivals > 0).await {
                Ok(ticket) => ticket,
                Err(_) if sends > 0 => return answer.unwrap_or_else(answer::lost),
                Err(why) => return self.refuse(req, why),
            };
            avoid.push(ticket.upstream.clone());
            let may_try_again = req.kind().is_idempotent() && sends + 1 < req.route().max_attempts;
            match self.try_at(req, ticket, sends + 1, may_try_again).await {
                Tried::Done(response) => return response,
                Tried::Failed(response) => answer = Some(response),
                Tried::Unreached => continue,
                Tried::Rejected => {
                    arrivals += 1;
                    continue;
                }
                Tried::Lost => {}
            }
            arrivals += 1;
            sends += 1;
            if Instant::now() >= req.deadline {
                return answer.unwrap_or_else(answer::too_late);
            }
            if !may_try_again {
                return answer.unwrap_or_else(answer::lost);
            }
        }
    }

    async fn try_at(
        self: &Arc<Self>,
        req: &Arc<Requested>,
        ticket: Ticket,
        attempts: u32,
        may_try_again: bool,
    ) -> Tried {
        let until = if may_try_again {
            patience(req, &ticket, FIRST_TRY_SHARE)
        } else {
            req.deadline
        };
        let upstream = ticket.upstream.clone();
        let exchanged = exchange(self, req, ticket, None, until).await;
        let tried = match exchanged {
            Exchanged::Unreached => Tried::Unreached,
            Exchanged::Rejected => Tried::Rejected,
            Exchanged::Lost => Tried::Lost,
            Exchanged::Answered(answer) => self.deliver(req, *answer, until, attempts).await,
        };
        let outcome = match &tried {
            Tried::Done(_) => "answered",
            Tried::Failed(_) => "failed",
            Tried::Unreached => "not reached",
            Tried::Rejected => "rejected",
            Tried::Lost => "lost",
        };
        let fields: [Field<'_>; 2] = [("upstream", &upstream), ("outcome", &outcome)];
        match &tried {
            Tried::Done(_) => self.log_sample(&events::REQUEST_ANSWERED, req, &fields),
            _ => self.log(&events::TRY_FAILED, req, &fields),
        }
        tried
    }

    async fn deliver(
        self: &Arc<Self>,
        req: &Arc<Requested>,
        answer: Answer,
        until: Instant,
        attempts: u32,
    ) -> Tried {
        let streams = req.kind().is_stream() && answer.response.status().is_success();
        if streams {
            return match open(self, req, answer, until, attempts).await {
                Opened::Streaming(response) => Tried::Done(response),
                Opened::Lost => Tried::Lost,
            };
        }
        match collect(self, req, answer).await {
            Delivered::Whole(response) => Tried::Done(response),
            Delivered::Failure(response) => Tried::Failed(response),
            Delivered::Lost => Tried::Lost,
        }
    }

    /// Asks the actor where a request goes.
    pub(super) async fn place(
        &self,
        req: &Requested,
        avoid: &[Arc<str>],
        is_second: bool,
    ) -> Result<Ticket, NotPlaced> {
        let (tx, rx) = oneshot::channel();
        let ask = PlaceAsk {
            config: Arc::clone(&req.config),
            service: req.service,
            account: req.account.clone(),
            prompt: Arc::clone(&req.prompt),
            avoid: avoid.to_vec(),
            is_second,
            content: req.content,
            turn: ((self.draw)() * u64::MAX as f64) as u64,
        };
        self.tx.send(ForwardMsg::Place(Box::new(ask), tx));
        // The actor ends only with the process.
        rx.await.unwrap_or(Err(NotPlaced::NoLease))
    }

    fn refuse(&self, req: &Requested, why: NotPlaced) -> AnyResponse {
        let (text, retry_after) = match why {
            NotPlaced::Refused(refusal) => (refusal.reason.to_string(), refusal.retry_after),
            NotPlaced::NoLease => (NOT_CONFIRMED.to_owned(), RETRY_SOON),
            NotPlaced::NoSecondSend => ("too much is sent again".to_owned(), RETRY_SOON),
            NotPlaced::Stopping => ("this host is stopping".to_owned(), Duration::ZERO),
            NotPlaced::Crashing => (
                "the request has crashed upstreams".to_owned(),
                Duration::from_secs(10),
            ),
        };
        let millis = retry_after.as_millis();
        let fields: [Field<'_>; 2] = [("reason", &text), ("retry_after_ms", &millis)];
        if self.refusals.take(self.cx.now()) {
            self.log(&events::REQUEST_REFUSED, req, &fields);
        } else {
            self.cx.metrics.count_event(&events::REQUEST_REFUSED);
        }
        answer::not_run(&text, retry_after)
    }

    fn count(&self, req: &Requested, response: &AnyResponse) {
        let class = match response.status().as_u16() {
            200..=299 => "served",
            503 => "refused",
            _ => "failed",
        };
        let service = &req.config.services()[req.service].name;
        let labels = [("service", &**service), ("outcome", class)];
        self.cx.metrics.counter("requests", &labels).increment(1);
        let took = req.arrived.elapsed().as_secs_f64();
        let labels = [("service", &**service)];
        self.cx
            .metrics
            .histogram("answer_begun_seconds", &labels)
            .record(took);
    }

    /// Writes a line about a request.
    pub(super) fn log(&self, event: &EventDef, req: &Requested, fields: &[Field<'_>]) {
        let age_ms = req.arrived.elapsed().as_millis();
        let number = req.config.number();
        let id = req.id();
        let route = &req.route().name;
        let mut all: Vec<Field<'_>> = vec![
            ("request", &id),
            ("route", route),
            ("config", &number),
            ("age_ms", &age_ms),
        ];
        all.extend_from_slice(fields);
        self.cx.log(event, &all);
    }

    fn log_sample(&self, event: &EventDef, req: &Requested, fields: &[Field<'_>]) {
        if is_sampled(req.id()) {
            self.log(event, req, fields);
        }
    }
}

fn is_sampled(id: &str) -> bool {
    let sum = id.bytes().fold(0_u64, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(u64::from(b))
    });
    sum % SAMPLE_ONE_IN == 0
}

/// Size of the request line and headers as they were sent, nearly: what separates them counts as four
/// bytes a line.
fn head_bytes(parts: &hyper::http::request::Parts) -> usize {
    let line = parts.method.as_str().len() + parts.uri.to_string().len();
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    line + headers.sum::<usize>()
}

/// The host that a request names, without a port.
fn host_of(parts: &hyper::http::request::Parts) -> &str {
    let named = parts.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = named.or_else(|| parts.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}
