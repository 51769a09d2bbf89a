//! A request that was read and matched to a route.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootnotch_forward::config::{Route, RouteKind, ServiceConfig};
use coltsfootnotch_forward::held::Hold;
use coltsfootnotch_forward::place::Prompt;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};

use super::dialect::{Dialect, RequestHead, UpstreamRequestHead};
use super::messages::{KnownOrigin, Ticket};
use super::stop_times::StopNotice;
use crate::util::buffered_body::BufferedBody;
use crate::util::request_body::RequestProgress;

/// Bytes at each end of a body that its digest covers. The digest is computed for every request,
/// also for those refused in a flood, and bodies have tens of kilobytes. Bodies with the same ends
/// and length count as the same content.
const SAMPLE_BYTES: usize = 512;

/// A request that was read and matched to a route.
pub(super) struct MatchedRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: BufferedBody,
    pub(super) head: RequestHead,
    /// The services of the configuration that it was matched by.
    pub(super) config: Arc<ServiceConfig>,
    pub(super) route: Arc<Route>,
    /// Index of its service.
    pub(super) service: usize,
    pub(super) account: Option<Arc<str>>,
    /// Priority of its account, if it has one.
    pub(super) account_priority: Option<u32>,
    pub(super) prompt: Arc<Prompt>,
    /// Digest of the content, the same when the caller sends the request again.
    pub(super) content: u64,
    /// The origin of the stream that its caller resumes.
    pub(super) origin: Option<KnownOrigin>,
    /// Digest of the identity of its stream, if its caller may resume it: that of the request that began it.
    pub(super) stream: Option<u64>,
    /// Deadline by the caller's or the route's timeout.
    pub(super) deadline: Instant,
    /// When the host stops that relays its connection, if one does.
    pub(super) relay_stop: Option<StopNotice>,
    /// When its headers were received.
    pub(super) received_at: Instant,
    /// Where its caller's connection is told how far it has come.
    pub(super) progress: RequestProgress,
    /// The memory that it takes.
    pub(super) _hold: Hold,
}

impl MatchedRequest {
    pub(super) fn route(&self) -> &Route {
        &self.route
    }

    pub(super) fn kind(&self) -> RouteKind {
        self.route().kind
    }

    /// Whether the caller resumes a stream that began with an earlier request.
    pub(super) fn resumes_stream(&self) -> bool {
        let is_resumed = self.head.states_last_event || self.head.resumes.is_some();
        self.kind().is_stream() && is_resumed
    }

    /// Time left of its route's target, if it has one; no more than until its deadline.
    pub(super) fn target_left(&self) -> Option<Duration> {
        let target = self.route().target?;
        let ends = (self.received_at + target).min(self.deadline);
        Some(ends.saturating_duration_since(Instant::now()))
    }

    /// The caller's identity of the request, for log lines.
    pub(super) fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or("-")
    }

    /// The request as it is forwarded to an upstream.
    pub(super) fn upstream_request(
        &self,
        dialect: &Dialect,
        ticket: &Ticket,
        last_event: Option<u64>,
    ) -> Request<BufferedBody> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let mut headers = self.headers.clone();
        (dialect.write_upstream_request)(
            &mut headers,
            &UpstreamRequestHead {
                time_left,
                upstream: &ticket.upstream,
                copy_from: ticket.copy_from,
                account: self.account.as_deref(),
                last_event: last_event.or(self.head.last_event),
            },
        );
        let mut req = Request::new(self.body.clone());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = headers;
        req
    }
}

/// Digest of a request's content: method, path, query, account, and both ends and length of the
/// body.
pub(super) fn digest(parts: &Parts, account: Option<&str>, body: &BufferedBody) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.method.as_str().hash(&mut hasher);
    parts.uri.path().hash(&mut hasher);
    parts.uri.query().hash(&mut hasher);
    account.hash(&mut hasher);
    body.len().hash(&mut hasher);
    let sample = body.len().min(SAMPLE_BYTES);
    body.copy_range(0, sample).hash(&mut hasher);
    body.copy_range(body.len() - sample, sample)
        .hash(&mut hasher);
    hasher.finish()
}

/// Digest of the identity of a stream: the account and the id of the request that began it.
pub(super) fn stream_digest(account: Option<&str>, began_with: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    account.hash(&mut hasher);
    began_with.hash(&mut hasher);
    hasher.finish()
}
