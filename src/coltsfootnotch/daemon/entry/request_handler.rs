//! Handles HTTP requests of callers: authenticates, routes and passes them to the actor.

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
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use sha2::{Digest, Sha256};
use stakker::sync::Channel;
use tokio::sync::{Semaphore, mpsc, watch};

use super::actor::EntryMsg;
use super::chat::ChatRequest;
use super::response_body::ResponseBody;
use super::{ClientRequest, LedgerKey, ResponsePart};
use crate::core::{HostCx, Refusal, RefusalKind};
use crate::util::connection_io::EndsWithConnection;
use crate::util::http_server::{AnyResponse, full, read_body};
use crate::util::request_body::RequestBody;

/// Path of chat completions, at the entry and at the engines.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Chunks buffered between an attempt and its caller; a slow caller delays its own stream only.
const RESPONSE_BUFFER: usize = 32;
/// Bytes per permit of the memory semaphore.
const MEMORY_PERMIT_BYTES: u64 = 1024;
/// Copies of a body that are held at once: its buffers beside the one that they are joined to, or that beside the call.
const COPIES_OF_BODY: u64 = 2;
/// Header of every response that carries the request id.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the caller's timeout in milliseconds, which can only shorten the configured one.
const DEADLINE_HEADER: &str = "x-deadline-ms";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const JSON: &str = "application/json";

/// State shared by the connections of all callers.
pub(super) struct RequestHandler {
    pub(super) cx: HostCx,
    pub(super) config: watch::Receiver<Option<Arc<ConfigIndex>>>,
    pub(super) tx: Channel<EntryMsg>,
    pub(super) limits: Limits,
    pub(super) ready: Arc<AtomicBool>,
    pub(super) memory: Arc<Semaphore>,
    pub(super) next_request_number: Arc<AtomicU64>,
}

/// Notifies the actor when the caller disconnects before its response is complete.
pub(super) struct DisconnectGuard {
    request: u64,
    id: String,
    tx: Option<Channel<EntryMsg>>,
}

impl DisconnectGuard {
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    pub(super) fn disarm(&mut self) {
        self.tx = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(tx) = self.tx.take() {
            tx.send(EntryMsg::CallerDisconnected {
                request: self.request,
            });
        }
    }
}

/// The destination and the cost estimate of a request.
struct Route {
    pool: PoolName,
    estimate: ServiceUnits,
    prefix: u64,
    repeatable: bool,
    path: String,
    stream: bool,
}

impl RequestHandler {
    /// Creates the semaphore that bounds the memory of request bodies.
    pub(super) fn memory_semaphore(limits: &Limits) -> Arc<Semaphore> {
        let permits =
            (limits.memory_bytes / MEMORY_PERMIT_BYTES).min(Semaphore::MAX_PERMITS as u64);
        Arc::new(Semaphore::new(
            usize::try_from(permits).unwrap_or(Semaphore::MAX_PERMITS),
        ))
    }

    /// Handles one request.
    pub(super) async fn handle(
        self: Arc<Self>,
        req: Request<RequestBody>,
        _: SocketAddr,
    ) -> AnyResponse {
        let request = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{request}", self.cx.identity.incarnation);
        let mut response = match self.try_handle(req, request, &id).await {
            Ok(response) => response,
            Err(refusal) => self.refusal_response(&refusal, &id),
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    async fn try_handle(
        self: &Arc<Self>,
        req: Request<RequestBody>,
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
        let progress = body.progress();
        let account = authenticate(&config, &parts.headers)?;
        if parts.method == Method::GET && parts.uri.path() == "/v1/models" {
            return Ok(list_models(&config));
        }
        let held = COPIES_OF_BODY * self.max_body_bytes(&parts);
        // A body that the limits allow is served while nothing else is.
        let held = held.min(self.limits.memory_bytes / MEMORY_PERMIT_BYTES * MEMORY_PERMIT_BYTES);
        let permits = u32::try_from(held.div_ceil(MEMORY_PERMIT_BYTES)).unwrap_or(u32::MAX);
        let memory = Arc::clone(&self.memory).try_acquire_many_owned(permits.max(1));
        let memory = memory.map_err(|_| {
            Refusal::not_run(RefusalKind::Overloaded).retry_after(Duration::from_secs(1))
        })?;
        let body = read_body(body, self.limits.body_bytes, self.limits.read_timeout()).await;
        let body = body.map_err(body_refusal)?;
        let (response, mut response_rx) = mpsc::channel(RESPONSE_BUFFER);
        let client_request =
            self.client_request(&config, account, &parts, &body, request, response)?;
        drop(body);
        let stream = client_request.call.stream;
        let tx = Some(self.tx.clone());
        let mut guard = DisconnectGuard {
            request,
            id: id.to_owned(),
            tx,
        };
        // The actor alone knows when it is sent to an upstream.
        progress.set_may_have_run(true);
        if !self.tx.send(EntryMsg::Request(Box::new(client_request))) {
            guard.disarm();
            return Err(Refusal::not_run(RefusalKind::NotReady));
        }
        let first = response_rx.recv().await;
        drop(memory);
        match first {
            Some(ResponsePart::Head {
                status,
                content_type,
                ends_with_connection,
            }) => {
                let body = ResponseBody::new(response_rx, guard);
                let mut response = response_with_body(status, &content_type, stream, body);
                if ends_with_connection {
                    response.extensions_mut().insert(EndsWithConnection);
                }
                Ok(response)
            }
            Some(ResponsePart::Failed(refusal)) => {
                guard.disarm();
                Err(refusal)
            }
            Some(ResponsePart::Chunk(_) | ResponsePart::End) | None => {
                guard.disarm();
                Err(Refusal::unknown(RefusalKind::ConnectionLost))
            }
        }
    }

    fn max_body_bytes(&self, parts: &Parts) -> u64 {
        let content_length = parts.headers.get(hyper::header::CONTENT_LENGTH);
        let content_length =
            content_length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let limit = self.limits.body_bytes as u64;
        let has_no_body = parts.method == Method::GET || parts.method == Method::DELETE;
        content_length
            .unwrap_or(if has_no_body { 0 } else { limit })
            .min(limit)
    }

    fn client_request(
        &self,
        config: &Arc<ConfigIndex>,
        account: &Account,
        parts: &Parts,
        body: &Bytes,
        request: u64,
        response: mpsc::Sender<ResponsePart>,
    ) -> Result<ClientRequest, Refusal> {
        let route = resolve_route(config, parts, body)?;
        let idempotency_key = header(&parts.headers, IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
        let ledger_key = if route.repeatable {
            None
        } else {
            Some(ledger_key(idempotency_key.as_deref(), parts, body)?)
        };
        let now = self.cx.now();
        let deadline = now + request_timeout(config, account, &route.pool, &parts.headers)?;
        let call = Call {
            method: parts.method.to_string(),
            path: route.path,
            content_type: header(&parts.headers, CONTENT_TYPE.as_str()).map(str::to_owned),
            idempotency_key,
            body: body.to_vec(),
            stream: route.stream,
        };
        Ok(ClientRequest {
            request,
            account: account.name.clone(),
            pool: route.pool,
            arrived: now,
            deadline,
            estimate: route.estimate,
            prefix: route.prefix,
            content: content_digest(parts, body),
            ledger_key,
            call,
            config: Arc::clone(config),
            response,
        })
    }

    fn refusal_response(&self, refusal: &Refusal, id: &str) -> AnyResponse {
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

fn authenticate<'c>(config: &'c ConfigIndex, headers: &HeaderMap) -> Result<&'c Account, Refusal> {
    let unauthenticated = || Refusal::not_run(RefusalKind::Unauthenticated);
    let bearer = header(headers, AUTHORIZATION.as_str()).ok_or_else(unauthenticated)?;
    let key = bearer.strip_prefix("Bearer ").ok_or_else(unauthenticated)?;
    let hash: [u8; 32] = Sha256::digest(key.trim().as_bytes()).into();
    config.account_of_key(&hash).ok_or_else(unauthenticated)
}

fn resolve_route(config: &ConfigIndex, parts: &Parts, body: &[u8]) -> Result<Route, Refusal> {
    if parts.uri.path() == CHAT_PATH {
        return chat_route(config, parts, body);
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
            Ok(Route {
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

fn chat_route(config: &ConfigIndex, parts: &Parts, body: &[u8]) -> Result<Route, Refusal> {
    if parts.method != Method::POST {
        return Err(Refusal::not_run(RefusalKind::NotFound));
    }
    let chat = ChatRequest::parse(body).map_err(|_| Refusal::not_run(RefusalKind::BadRequest))?;
    let model = config
        .model(&chat.model)
        .ok_or(Refusal::not_run(RefusalKind::NotFound))?;
    Ok(Route {
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

fn ledger_key(key: Option<&str>, parts: &Parts, body: &[u8]) -> Result<LedgerKey, Refusal> {
    let key = key.ok_or(Refusal::not_run(RefusalKind::IdempotencyKeyMissing))?;
    let key = IdempotencyKey::parse(key).map_err(|_| Refusal::not_run(RefusalKind::BadRequest))?;
    let body = BodyDigest(content_digest(parts, body));
    Ok(LedgerKey { key, body })
}

/// SHA-256 of method, path and body.
fn content_digest(parts: &Parts, body: &[u8]) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(format!("{} {}\n", parts.method, parts.uri));
    digest.update(body);
    digest.finalize().into()
}

fn request_timeout(
    config: &ConfigIndex,
    account: &Account,
    pool: &PoolName,
    headers: &HeaderMap,
) -> Result<Duration, Refusal> {
    let configured = config
        .deadline(account, pool.as_str())
        .unwrap_or(Duration::from_secs(60));
    let Some(requested) = header(headers, DEADLINE_HEADER) else {
        return Ok(configured);
    };
    let requested: u64 = requested
        .parse()
        .map_err(|_| Refusal::not_run(RefusalKind::BadRequest))?;
    Ok(configured.min(Duration::from_millis(requested)))
}

fn body_refusal(status: StatusCode) -> Refusal {
    Refusal::not_run(match status {
        StatusCode::PAYLOAD_TOO_LARGE => RefusalKind::TooLarge,
        _ => RefusalKind::BadRequest,
    })
}

fn list_models(config: &ConfigIndex) -> AnyResponse {
    let models = config.manifest().models.iter();
    let data: Vec<_> = models
        .map(|model| serde_json::json!({ "id": model.name.as_str(), "object": "model" }))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": data });
    full(StatusCode::OK, JSON, body.to_string())
}

fn response_with_body(
    status: u16,
    content_type: &str,
    stream: bool,
    body: ResponseBody,
) -> AnyResponse {
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
