//! Handling of requests: matching, forwarding and the response.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use coltsfootnotch_forward::held::{HeldKind, HeldResources, Load};
use coltsfootnotch_forward::pause_detector::PauseDetector;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use stakker::sync::Channel;
use tokio::sync::watch;
use tokio::time::timeout;

use super::costs::REQUEST_BYTES;
use super::dialect::{Dialect, InForce};
use super::handover::HandoverTargets;
use super::matched_request::{MatchedRequest, digest, stream_digest};
use super::messages::{ForwardMsg, RETRY_SOON};
use super::overload_flags::OverloadFlags;
use super::pool::Pool;
use super::refused_accounts::RefusedAccounts;
use super::request_body::{BodyError, read_body};
use super::responses;
use super::shared_notices::SharedNotices;
use super::stop_times::{StopNotice, too_late};
use crate::core::HostCx;
use crate::util::boot_clock::BootClock;
use crate::util::http_server::AnyResponse;
use crate::util::line_budget::LineBudget;
use crate::util::request_body::RequestBody;

/// Time for which requests wait for the first configuration after a start. It comes within some hundred
/// milliseconds, and a caller that is refused meanwhile finds other hosts starting as well.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason for refusals while the host is disconnected from the control group.
pub(super) const NOT_CONFIRMED: &str = "the configuration is not confirmed";

/// What the tasks of all connections share.
pub(super) struct Gateway {
    pub(super) cx: HostCx,
    pub(super) dialect: Dialect,
    pub(super) config: watch::Receiver<InForce>,
    pub(super) tx: Channel<ForwardMsg>,
    pub(super) pool: Arc<Pool>,
    /// What upstreams asked for in their responses.
    pub(super) notices: Arc<SharedNotices>,
    /// Limits the refusals that are logged.
    pub(super) refusals: LineBudget,
    /// The refusals beyond that limit.
    pub(super) refused_accounts: Arc<RefusedAccounts>,
    /// Limits the lost neighbours that are logged.
    pub(super) lost_neighbours: LineBudget,
    /// Limits the responses without end that are logged.
    pub(super) no_responses: LineBudget,
    /// When this host stops, once it does.
    pub(super) stop: StopNotice,
    /// Whether the lease of the configuration is valid.
    pub(super) lease_valid: Arc<AtomicBool>,
    pub(super) pause_detector: Arc<PauseDetector>,
    pub(super) overload: Arc<OverloadFlags>,
    /// Neighbours that take new connections over while the host is overloaded.
    pub(super) handover: Arc<HandoverTargets>,
    /// Memory and sockets that are held for callers.
    pub(super) held: Arc<HeldResources>,
    /// Returns a random number from 0 to 1.
    pub(super) draw: fn() -> f64,
}

impl Gateway {
    /// Handles one request; `relay_stop` tells when the host stops that relays its connection, if one does.
    pub(super) async fn handle(
        self: Arc<Self>,
        req: Request<RequestBody>,
        relay_stop: Option<StopNotice>,
    ) -> AnyResponse {
        if self.pause_detector.should_refuse(BootClock.now()) {
            return responses::paused();
        }
        if self.overload.should_refuse((self.draw)()) {
            self.cx
                .metrics
                .counter("requests_refused_unread", &[])
                .increment(1);
            self.refused_accounts
                .record(None, "this host is overloaded");
            return responses::overloaded();
        }
        if self.held.load() >= Load::Refusing {
            return self.refuse_unread(None);
        }
        let received_at = Instant::now();
        let mut response = match self.read(req, received_at, relay_stop).await {
            Ok(mut req) => {
                // Boxed, as each open connection holds the space of a request's future.
                let pinned = if req.resumes_stream() {
                    Box::pin(self.pin_to_origin(&mut req)).await
                } else {
                    Ok(())
                };
                let req = Arc::new(req);
                let response = match pinned {
                    Ok(()) => self.run(&req).await,
                    Err(reason) => self.refuse(&req, reason),
                };
                self.count(&req, &response);
                response
            }
            Err(response) => response,
        };
        if self.should_close() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Whether to close the connection after this response: there are too many, the caller is served better
    /// through another host, or this one stops and would otherwise close it while the caller may reuse it.
    fn should_close(&self) -> bool {
        self.handover.has_ended()
            || self.overload.is_overloaded()
            || self.held.load() >= Load::Crowded
            || self.handover.should_hand_over((self.draw)())
    }

    /// The configuration in force, which is waited for after a start.
    async fn current_config(&self) -> InForce {
        let config = self.config.borrow().clone();
        if config.is_some() {
            return config;
        }
        // Boxed, as each open connection holds the space of a request's future.
        Box::pin(self.first_config()).await
    }

    async fn first_config(&self) -> InForce {
        let mut watched = self.config.clone();
        let first = watched.wait_for(Option::is_some);
        let config = timeout(FIRST_CONFIG_TIMEOUT, first).await.ok()?.ok()?;
        config.clone()
    }

    /// Matches a request to a route and account, and reads its body.
    async fn read(
        &self,
        req: Request<RequestBody>,
        received_at: Instant,
        relay_stop: Option<StopNotice>,
    ) -> Result<MatchedRequest, AnyResponse> {
        let Some(config) = self.current_config().await else {
            return Err(responses::not_run(
                "no configuration is in force yet",
                RETRY_SOON,
            ));
        };
        let (parts, body) = req.into_parts();
        let progress = body.progress();
        let head_bytes = head_bytes(&parts);
        if head_bytes > config.bounds().header_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(responses::failure(status, "the headers are too large"));
        }
        let mut head = (self.dialect.read_request)(&parts.headers);
        let route = config.route(host_of(&parts), parts.uri.path()).cloned();
        let Some(route) = route else {
            return Err(self.unmatched(StatusCode::NOT_FOUND, "no route"));
        };
        let found = head.key.as_deref().and_then(|key| config.account(key));
        let account_priority = found.and_then(|account| account.priority);
        let account = match found {
            Some(account) => Some(account.name.clone()),
            None if config.needs_keys() && !route.public => {
                return Err(self.unmatched(StatusCode::UNAUTHORIZED, "the key is not known"));
            }
            None => None,
        };
        let service = route.draw((self.draw)());
        let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        let deadline = received_at + timeout;
        let bounds = config.bounds();
        let services = Arc::clone(config.service_config());
        // Callers may take long to send a body, and whole configurations are large.
        drop(config);
        let head_bytes = head_bytes as u64 + REQUEST_BYTES;
        let mut hold = self
            .held
            .try_hold(HeldKind::Request, account.as_ref(), head_bytes)
            .ok_or_else(|| self.refuse_unread(account.as_ref()))?;
        let reading = read_body(body, bounds.body_bytes, timeout, &mut hold);
        let body = tokio::select! {
            biased;
            read = reading => read.map_err(|e| match e {
                BodyError::Status(status) => responses::failure(status, "the body can't be read"),
                BodyError::NoRoom => self.refuse_unread(account.as_ref()),
            })?,
            // Boxed, as each open connection holds the space of a request's future, and only if the body isn't complete.
            () = async { Box::pin(self.too_late(relay_stop.clone(), deadline)).await } => {
                self.refused_accounts.record(account.as_ref(), responses::STOPPING);
                return Err(responses::stopping());
            }
        };
        let content = digest(&parts, account.as_deref(), &body);
        let prompt = Arc::new(std::mem::take(&mut head.prompt));
        let began_with = head.resumes.as_deref().or(head.id.as_deref());
        let is_resumable = route.kind.is_stream() && route.kind.is_idempotent();
        let stream = began_with
            .filter(|_| is_resumable)
            .map(|id| stream_digest(account.as_deref(), id));
        Ok(MatchedRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            head,
            config: services,
            route,
            service,
            account,
            account_priority,
            prompt,
            content,
            origin: None,
            stream,
            deadline,
            relay_stop,
            received_at,
            progress,
            _hold: hold,
        })
    }

    /// Completes when a request with this deadline may not be passed on any more, since this host stops or the one
    /// that relays its connection.
    async fn too_late(&self, relay_stop: Option<StopNotice>, deadline: Instant) {
        let own = too_late(self.stop.clone(), deadline);
        let Some(relay_stop) = relay_stop else {
            return own.await;
        };
        tokio::select! {
            () = own => {}
            () = too_late(relay_stop, deadline) => {}
        }
    }

    /// Whether a request may not be passed on, since this host stops or the one that relays its connection. Another
    /// attempt at a request may take as long as its answer is estimated to.
    pub(super) fn is_too_late(&self, req: &MatchedRequest, is_repeated: bool) -> bool {
        let now = Instant::now();
        let answer_time = req.prompt.max_answer_time();
        let latest = if is_repeated && !answer_time.is_zero() {
            req.deadline.min(now + answer_time)
        } else {
            req.deadline
        };
        let stops = [Some(&self.stop), req.relay_stop.as_ref()];
        let mut stops = stops.into_iter().flatten();
        stops.any(|stop| stop.borrow().is_some_and(|stop| !stop.allows(now, latest)))
    }

    /// Refuses a request whose body was not read: this host holds as much as it may, or as much for the
    /// account as it may.
    fn refuse_unread(&self, account: Option<&Arc<str>>) -> AnyResponse {
        self.cx
            .metrics
            .counter("requests_refused_unread", &[])
            .increment(1);
        self.refused_accounts.record(account, responses::FULL);
        responses::full_host()
    }

    /// The response for a route or key that the configuration lacks. Without a valid lease the
    /// request is refused as not run instead, since a newer configuration may have the route or
    /// key.
    fn unmatched(&self, status: StatusCode, text: &str) -> AnyResponse {
        if self.lease_valid.load(Ordering::Relaxed) {
            responses::failure(status, text)
        } else {
            responses::not_run(NOT_CONFIRMED, RETRY_SOON)
        }
    }
}

/// Approximate size of the request line and headers as sent, with four bytes of separators per
/// header.
fn head_bytes(parts: &hyper::http::request::Parts) -> usize {
    let line = parts.method.as_str().len() + parts.uri.to_string().len();
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    line + headers.sum::<usize>()
}

/// The requested host name, without a port.
fn host_of(parts: &hyper::http::request::Parts) -> &str {
    let header = parts.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = header.or_else(|| parts.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}
