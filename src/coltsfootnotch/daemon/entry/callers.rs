//! Requests from callers: read, checked, handed to the actor, answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coltsfootnotch_manifest::{Account, CallMatch, ConfigIndex, Limits};
use coltsfootnotch_state::{BodyDigest, IdempotencyKey};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{Call, Run};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use sha2::{Digest, Sha256};
use stakker::sync::Channel;
use tokio::sync::{Semaphore, mpsc, watch};

use super::actor::EntryMsg;
use super::chat::ChatRequest;
use super::reply_body::ReplyBody;
use super::{Arrival, BookingKey, ReplyPart};
use crate::core::{HostCx, Refusal, RefusalKind};
use crate::util::http_server::{AnyResponse, full, read_body};

/// Where chat completions are asked for, here and at the engines.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Pieces between an attempt and its caller's connection; a slow caller holds up its own stream only.
const REPLY_BUFFER: usize = 32;
/// Memory is accounted in these units, in bytes.
const MEMORY_UNIT: u64 = 1024;
/// The request id, on every answer.
const REQUEST_ID: &str = "x-request-id";
/// The time a caller gives the request, in milliseconds; it shortens the configured deadline.
const DEADLINE: &str = "x-deadline-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const JSON: &str = "application/json";

/// What every caller's connection shares.
pub(super) struct Callers {
    pub(super) cx: HostCx,
    pub(super) config: watch::Receiver<Option<Arc<ConfigIndex>>>,
    pub(super) tx: Channel<EntryMsg>,
    pub(super) limits: Limits,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) memory: Arc<Semaphore>,
    pub(super) next_request: Arc<AtomicU64>,
}

/// Tells the actor when the caller goes away before the answer has ended.
pub(super) struct CallerGuard {
    request: u64,
    id: String,
    tx: Option<Channel<EntryMsg>>,
}

impl CallerGuard {
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    pub(super) fn disarm(&mut self) {
        self.tx = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(tx) = self.tx.take() {
            tx.send(EntryMsg::CallerGone {
                request: self.request,
            });
        }
    }
}

/// What a request asks for, before it has a body that is kept.
struct Asked {
    pool: PoolName,
    estimate: ServiceUnits,
    prefix: u64,
    repeatable: bool,
    path: String,
    stream: bool,
}

impl Callers {
    /// The bound on memory as a semaphore.
    pub(super) fn memory_of(limits: &Limits) -> Arc<Semaphore> {
        let units = (limits.memory_bytes / MEMORY_UNIT).min(Semaphore::MAX_PERMITS as u64);
        Arc::new(Semaphore::new(
            usize::try_from(units).unwrap_or(Semaphore::MAX_PERMITS),
        ))
    }

    /// Answers one request.
    pub(super) async fn answer(
        self: Arc<Self>,
        req: Request<Incoming>,
        _: SocketAddr,
    ) -> AnyResponse {
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{request}", self.cx.identity.incarnation);
        let mut response = match self.try_answer(req, request, &id).await {
            Ok(response) => response,
            Err(refusal) => self.refused(&refusal, &id),
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID, value);
        }
        response
    }

    async fn try_answer(
        self: &Arc<Self>,
        req: Request<Incoming>,
        request: u64,
        id: &str,
    ) -> Result<AnyResponse, Refusal> {
        let config = self.config.borrow().clone();
        let config = match config {
            Some(config) if self.ready.load(Ordering::Relaxed) => config,
            _ => {
                return Err(
                    Refusal::not_run(RefusalKind::NotReady).retry_after(Duration::from_secs(1))
                );
            }
        };
        let (parts, body) = req.into_parts();
        let account = account_of(&config, &parts.headers)?;
        if parts.method == Method::GET && parts.uri.path() == "/v1/models" {
            return Ok(models(&config));
        }
        let units =
            u32::try_from(self.body_bound(&parts).div_ceil(MEMORY_UNIT)).unwrap_or(u32::MAX);
        let memory = Arc::clone(&self.memory).try_acquire_many_owned(units.max(1));
        let memory = memory.map_err(|_| {
            Refusal::not_run(RefusalKind::Overloaded).retry_after(Duration::from_secs(1))
        })?;
        let body = read_body(body, self.limits.body_bytes, self.limits.read_timeout()).await;
        let body = body.map_err(body_refusal)?;
        let (reply, mut parts_rx) = mpsc::channel(REPLY_BUFFER);
        let arrival = self.arrival(&config, account, &parts, &body, request, reply)?;
        drop(body);
        let stream = arrival.call.stream;
        let tx = Some(self.tx.clone());
        let mut guard = CallerGuard {
            request,
            id: id.to_owned(),
            tx,
        };
        if !self.tx.send(EntryMsg::Arrive(Box::new(arrival))) {
            guard.disarm();
            return Err(Refusal::not_run(RefusalKind::NotReady));
        }
        let first = parts_rx.recv().await;
        drop(memory);
        match first {
            Some(ReplyPart::Head {
                status,
                content_type,
            }) => {
                let body = ReplyBody::new(parts_rx, guard);
                Ok(streamed(status, &content_type, stream, body))
            }
            Some(ReplyPart::Failed(refusal)) => {
                guard.disarm();
                Err(refusal)
            }
            Some(ReplyPart::Piece(_) | ReplyPart::End) | None => {
                guard.disarm();
                Err(Refusal::unknown(RefusalKind::ConnectionLost))
            }
        }
    }

    fn body_bound(&self, parts: &Parts) -> u64 {
        let stated = parts.headers.get(hyper::header::CONTENT_LENGTH);
        let stated = stated.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let limit = self.limits.body_bytes as u64;
        let none = parts.method == Method::GET || parts.method == Method::DELETE;
        stated.unwrap_or(if none { 0 } else { limit }).min(limit)
    }

    fn arrival(
        &self,
        config: &Arc<ConfigIndex>,
        account: &Account,
        parts: &Parts,
        body: &Bytes,
        request: u64,
        reply: mpsc::Sender<ReplyPart>,
    ) -> Result<Arrival, Refusal> {
        let asked = asked(config, parts, body)?;
        let idempotency_key = header(&parts.headers, IDEMPOTENCY_KEY).map(str::to_owned);
        let booking = if asked.repeatable {
            None
        } else {
            Some(booking_key(idempotency_key.as_deref(), parts, body)?)
        };
        let now = self.cx.now();
        let deadline = now + deadline(config, account, &asked.pool, &parts.headers)?;
        let call = Call {
            method: parts.method.to_string(),
            path: asked.path,
            content_type: header(&parts.headers, CONTENT_TYPE.as_str()).map(str::to_owned),
            idempotency_key,
            body: body.to_vec(),
            stream: asked.stream,
        };
        Ok(Arrival {
            request,
            account: account.name.clone(),
            pool: asked.pool,
            arrived: now,
            deadline,
            estimate: asked.estimate,
            prefix: asked.prefix,
            content: content_digest(parts, body),
            booking,
            call,
            config: Arc::clone(config),
            reply,
        })
    }

    fn refused(&self, refusal: &Refusal, id: &str) -> AnyResponse {
        let (kind, run) = (refusal.kind.name(), refusal.run.to_string());
        let labels = [("type", kind.as_str()), ("run", run.as_str())];
        self.cx.metrics.counter("refusals", &labels).increment(1);
        let mut response = full(refusal.status(), JSON, refusal.to_json(id));
        if let Some(after) = refusal.retry_after_s() {
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(after));
        }
        response
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn account_of<'c>(config: &'c ConfigIndex, headers: &HeaderMap) -> Result<&'c Account, Refusal> {
    let unauthenticated = || Refusal::not_run(RefusalKind::Unauthenticated);
    let bearer = header(headers, AUTHORIZATION.as_str()).ok_or_else(unauthenticated)?;
    let key = bearer.strip_prefix("Bearer ").ok_or_else(unauthenticated)?;
    let hash: [u8; 32] = Sha256::digest(key.trim().as_bytes()).into();
    config.account_of_key(&hash).ok_or_else(unauthenticated)
}

fn asked(config: &ConfigIndex, parts: &Parts, body: &[u8]) -> Result<Asked, Refusal> {
    if parts.uri.path() == CHAT_PATH {
        return chat(config, parts, body);
    }
    let method = parts.method.as_str();
    match config.service_call(method, parts.uri.path()) {
        CallMatch::NoService => Err(Refusal::not_run(RefusalKind::NotFound)),
        CallMatch::NoCall(_) => Err(Refusal::not_run(RefusalKind::Forbidden)),
        CallMatch::Call { service, call } => {
            let rest = service.path_within(parts.uri.path()).unwrap_or("/");
            let query = parts
                .uri
                .query()
                .map_or(String::new(), |query| format!("?{query}"));
            Ok(Asked {
                pool: service.name.clone(),
                estimate: service.service_units(),
                prefix: 0,
                repeatable: call.repeatable,
                path: format!("{rest}{query}"),
                stream: false,
            })
        }
    }
}

fn chat(config: &ConfigIndex, parts: &Parts, body: &[u8]) -> Result<Asked, Refusal> {
    if parts.method != Method::POST {
        return Err(Refusal::not_run(RefusalKind::NotFound));
    }
    let chat = ChatRequest::parse(body).map_err(|_| Refusal::not_run(RefusalKind::BadRequest))?;
    let model = config
        .model(&chat.model)
        .ok_or(Refusal::not_run(RefusalKind::NotFound))?;
    Ok(Asked {
        pool: model.name.clone(),
        estimate: model
            .token_weights
            .service_units(chat.tokens_in, chat.tokens_out),
        prefix: chat.prefix,
        repeatable: true,
        path: CHAT_PATH.to_owned(),
        stream: chat.stream,
    })
}

fn booking_key(key: Option<&str>, parts: &Parts, body: &[u8]) -> Result<BookingKey, Refusal> {
    let key = key.ok_or(Refusal::not_run(RefusalKind::IdempotencyKeyMissing))?;
    let key = IdempotencyKey::parse(key).map_err(|_| Refusal::not_run(RefusalKind::BadRequest))?;
    let body = BodyDigest(content_digest(parts, body));
    Ok(BookingKey { key, body })
}

/// SHA-256 of method, path and body.
fn content_digest(parts: &Parts, body: &[u8]) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(format!("{} {}\n", parts.method, parts.uri));
    digest.update(body);
    digest.finalize().into()
}

fn deadline(
    config: &ConfigIndex,
    account: &Account,
    pool: &PoolName,
    headers: &HeaderMap,
) -> Result<Duration, Refusal> {
    let configured = config
        .deadline(account, pool.as_str())
        .unwrap_or(Duration::from_secs(60));
    let Some(asked) = header(headers, DEADLINE) else {
        return Ok(configured);
    };
    let asked: u64 = asked
        .parse()
        .map_err(|_| Refusal::not_run(RefusalKind::BadRequest))?;
    Ok(configured.min(Duration::from_millis(asked)))
}

fn body_refusal(status: StatusCode) -> Refusal {
    Refusal::not_run(match status {
        StatusCode::PAYLOAD_TOO_LARGE => RefusalKind::TooLarge,
        _ => RefusalKind::BadRequest,
    })
}

fn models(config: &ConfigIndex) -> AnyResponse {
    let models = config.manifest().models.iter();
    let data: Vec<_> = models
        .map(|model| serde_json::json!({ "id": model.name.as_str(), "object": "model" }))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": data });
    full(StatusCode::OK, JSON, body.to_string())
}

fn streamed(status: u16, content_type: &str, stream: bool, body: ReplyBody) -> AnyResponse {
    let mut response = Response::new(body.boxed());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let fallback = if stream { "text/event-stream" } else { JSON };
    let value = HeaderValue::from_str(content_type);
    let value = value.unwrap_or_else(|_| HeaderValue::from_static(fallback));
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
        .headers_mut()
        .insert("x-run", HeaderValue::from_static(run_name(Run::Yes)));
    response
}

fn run_name(run: Run) -> &'static str {
    match run {
        Run::No => "no",
        Run::Unknown => "unknown",
        Run::Yes => "yes",
    }
}
