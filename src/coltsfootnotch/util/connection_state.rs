//! What the service of a connection and its socket tell each other.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http_body_util::BodyExt;
use hyper::Version;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};

use super::abort_after_flush::{AbortAfterFlush, FlushSignal};
use super::connection_io::EndsWithConnection;
use super::http_server::AnyResponse;
use super::unsized_body::UnsizedBody;

/// What the service of a connection and its socket tell each other.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    /// Whether the next response ends with the connection.
    pub(super) ends_with_connection: AtomicBool,
    /// Whether the status line of the next response is written with the version of HTTP/1.0 and has to be corrected.
    pub(super) has_old_version: AtomicBool,
    pub(super) flush: FlushSignal,
    /// Whether the connection is to be closed after the next response.
    pub(super) is_closing: AtomicBool,
    /// Whether bytes have arrived since the last request began or was answered, as of a part of a head.
    pub(super) expects_rest: AtomicBool,
    /// Whether a request has begun since the flag was last cleared.
    pub(super) has_begun: AtomicBool,
    /// Whether bytes were written since the flag was last cleared.
    pub(super) has_written: AtomicBool,
    /// Whether the last response said that the connection is closed after it, or its request asked for that.
    pub(super) has_said_close: AtomicBool,
    /// Whether a part of the last request's body was left unread, so that no request can be found behind it.
    pub(super) has_body_left: AtomicBool,
    /// What its handler left of the last request's body.
    left_body: Mutex<Option<Incoming>>,
    /// Whether requests are refused: they came behind the last response.
    pub(super) is_refusing: AtomicBool,
    /// Whether what is in progress ends now, since the process does.
    pub(super) is_aborting: AtomicBool,
    /// Whether the handler of a request is running.
    pub(super) has_handler: AtomicBool,
    /// Whether the request in progress may have run.
    pub(super) may_have_run: AtomicBool,
    /// Whether a response without a stated length is in progress.
    pub(super) is_body_unfinished: AtomicBool,
    /// Whether the connection was told to close, and was closed in order with bytes unread.
    pub(super) is_closed_unread: AtomicBool,
    /// Bytes that were received of the next request's head.
    pub(super) head_bytes: AtomicUsize,
    /// When the connection began to wait for its peer to send or take bytes, as a number that grows; zero while it does
    /// not.
    waits_since: AtomicU64,
}

/// Order in which connections begin to wait for their peers.
static NEXT_WAIT: AtomicU64 = AtomicU64::new(1);

impl ConnectionState {
    /// Takes note that the connection waits for its peer, if it does not yet.
    pub(super) fn set_waiting(&self) {
        if self.waits_since.load(Ordering::Acquire) == 0 {
            let now = NEXT_WAIT.fetch_add(1, Ordering::Relaxed);
            self.waits_since.store(now, Ordering::Release);
        }
    }

    /// Takes note that the peer has sent or taken bytes, or that its request is being handled.
    pub(super) fn end_waiting(&self) {
        self.waits_since.store(0, Ordering::Release);
    }

    /// When the connection began to wait for its peer, as a number that grows; none while it does not.
    pub(super) fn waits_since(&self) -> Option<u64> {
        Some(self.waits_since.load(Ordering::Acquire)).filter(|since| *since > 0)
    }

    /// Takes note of a request that begins.
    pub(super) fn begin_request(&self, version: Version, headers: &HeaderMap) {
        self.end_waiting();
        self.head_bytes.store(0, Ordering::Release);
        self.expects_rest.store(false, Ordering::Release);
        self.has_begun.store(true, Ordering::Release);
        self.may_have_run.store(false, Ordering::Release);
        self.has_handler.store(true, Ordering::Release);
        let is_last = version != Version::HTTP_11 || says_close(headers);
        self.has_said_close.store(is_last, Ordering::Release);
    }

    /// Whether a request is being handled, or its response is being made.
    pub(super) fn is_handling(&self) -> bool {
        self.has_handler.load(Ordering::Acquire) || self.is_body_unfinished.load(Ordering::Acquire)
    }

    /// Whether a request that begins now is refused.
    pub(super) fn should_refuse(&self) -> bool {
        self.is_refusing.load(Ordering::Acquire) || self.is_aborting.load(Ordering::Acquire)
    }

    /// Whether a response is aborted, so that the connection has to be reset: closed in order, it might be taken
    /// for a complete one.
    pub(super) fn is_response_aborted(&self) -> bool {
        self.is_aborting.load(Ordering::Acquire) && self.is_body_unfinished.load(Ordering::Acquire)
    }

    /// What its handler left of the last request's body.
    pub(super) fn left_body(&self) -> MutexGuard<'_, Option<Incoming>> {
        self.left_body
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the next request begins where the bytes end that were served, and can be responded to.
    pub(super) fn can_find_next_request(&self) -> bool {
        !self.has_body_left.load(Ordering::Acquire)
            && !self.ends_with_connection.load(Ordering::Acquire)
    }

    /// Prepares a response to a request with `version`: one that ends with its connection gets neither a
    /// length nor chunks. Without a length, those to HTTP/1.0, which has no chunks, end with it as well.
    pub(super) fn prepare(
        self: &Arc<Self>,
        mut response: AnyResponse,
        version: Version,
    ) -> AnyResponse {
        self.has_handler.store(false, Ordering::Release);
        let is_marked = response.extensions().get::<EndsWithConnection>().is_some();
        let is_unsized = response.body().size_hint().exact().is_none();
        let ends_with_connection = is_marked || (is_unsized && version == Version::HTTP_10);
        self.ends_with_connection
            .store(ends_with_connection, Ordering::Release);
        if is_unsized {
            self.is_body_unfinished.store(true, Ordering::Release);
            let state = Arc::clone(self);
            response = response.map(|body| AbortAfterFlush::new(body, state).boxed());
        }
        let is_closing = self.is_closing.load(Ordering::Acquire);
        if is_marked || is_closing || self.has_body_left.load(Ordering::Acquire) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        let is_last = self.has_said_close.load(Ordering::Acquire)
            || ends_with_connection
            || says_close(response.headers());
        self.has_said_close.store(is_last, Ordering::Release);
        if !is_marked {
            return response;
        }
        response = response.map(|body| UnsizedBody(body).boxed());
        if version != Version::HTTP_10 {
            // With this version hyper adds no chunks.
            *response.version_mut() = Version::HTTP_10;
            self.has_old_version.store(true, Ordering::Release);
        }
        response
    }
}

/// Whether the headers say that the connection is closed after this message.
fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut options = values.flat_map(|value| value.as_bytes().split(|b| *b == b','));
    options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}
