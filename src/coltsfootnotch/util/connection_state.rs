//! What the service of a connection and its socket tell each other.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http_body_util::BodyExt;
use hyper::Version;
use hyper::body::Body;
use hyper::header::{CONNECTION, HeaderValue};

use super::abort_after_flush::{AbortAfterFlush, FlushSignal};
use super::connection_io::EndsWithConnection;
use super::http_server::AnyResponse;
use super::unsized_body::UnsizedBody;

/// What the service of a connection tells its socket of the next response, and the socket the service of
/// its close.
#[derive(Debug, Default)]
pub(super) struct NextResponse {
    pub(super) ends_with_connection: AtomicBool,
    /// Whether its status line is written with the version of HTTP/1.0 and has to be corrected.
    pub(super) has_old_version: AtomicBool,
    pub(super) flush: Arc<FlushSignal>,
    /// Whether the connection is closed after the response.
    pub(super) is_last: AtomicBool,
    /// Whether bytes were received since the last request or response: a part of a request's head.
    pub(super) has_partial_request: AtomicBool,
    /// Whether the connection was closed in order with bytes of the caller unread.
    pub(super) is_closed_unread: AtomicBool,
}

impl NextResponse {
    /// Prepares a response to a request with `version`: one that ends with its connection gets neither a
    /// length nor chunks. Without a length, those to HTTP/1.0, which has no chunks, end with it as well.
    pub(super) fn prepare(&self, mut response: AnyResponse, version: Version) -> AnyResponse {
        let is_marked = response.extensions().get::<EndsWithConnection>().is_some();
        let is_unsized = response.body().size_hint().exact().is_none();
        let ends_with_connection = is_marked || (is_unsized && version == Version::HTTP_10);
        self.ends_with_connection
            .store(ends_with_connection, Ordering::Release);
        if is_unsized {
            let flush = Arc::clone(&self.flush);
            response = response.map(|body| AbortAfterFlush::new(body, flush).boxed());
        }
        if is_marked || self.is_last.load(Ordering::Acquire) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
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
