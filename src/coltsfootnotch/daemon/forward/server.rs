//! A request from its first byte to its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use coltsfootnotch_forward::pause_detector::PauseDetector;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use stakker::sync::Channel;
use tokio::sync::watch;

use super::answer;
use super::dialect::{Dialect, InForce};
use super::messages::{ForwardMsg, RETRY_SOON};
use super::overload_flags::OverloadFlags;
use super::pool::Pool;
use super::requested::{Requested, digest};
use crate::core::HostCx;
use crate::util::boot_clock::BootClock;
use crate::util::connections::Connections;
use crate::util::http_server::{AnyResponse, read_body};
use crate::util::line_budget::LineBudget;

/// Why a host that is cut off from the control group refuses.
pub(super) const NOT_CONFIRMED: &str = "the configuration is not confirmed";

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
    pub(super) awake: Arc<PauseDetector>,
    pub(super) overload: Arc<OverloadFlags>,
    pub(super) connections: Arc<Connections>,
    /// Connections from which on callers are asked to close theirs after an answer: beyond the most
    /// that are taken, new callers would be turned away while idle connections are kept.
    pub(super) crowded: usize,
    pub(super) draw: fn() -> f64,
}

impl Gateway {
    /// Answers one request.
    pub(super) async fn answer(
        self: Arc<Self>,
        req: Request<Incoming>,
        _peer: SocketAddr,
    ) -> AnyResponse {
        if self.awake.should_refuse(BootClock.now()) {
            return answer::stood_still();
        }
        if self.overload.refuses((self.draw)()) {
            self.cx
                .metrics
                .counter("requests_refused_unread", &[])
                .increment(1);
            return answer::overloaded();
        }
        let arrived = Instant::now();
        match self.read(req, arrived).await {
            Ok(req) => {
                let req = Arc::new(req);
                let mut response = self.run(&req).await;
                self.count(&req, &response);
                if self.overload.sends_elsewhere() || self.connections.count() > self.crowded {
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
