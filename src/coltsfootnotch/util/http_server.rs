//! The HTTP server of callers, announcements and administration.
//!
//! Connections, headers and idle time are bounded, since whoever connects decides how many bytes it
//! sends and how slowly. When the peer closes its connection the handler's future, or the body it
//! returned, is dropped: that is how a daemon learns that a caller has gone.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::connections::{Connections, OpenConnection};

/// A body can't be completed: the connection is closed, so that its end does not look like the body's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the answer was broken off")]
pub struct BodyAborted;

/// A response body of any kind.
pub type AnyBody = BoxBody<Bytes, BodyAborted>;
/// A response.
pub type AnyResponse = Response<AnyBody>;

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections at once; more are closed unanswered.
    pub connections: usize,
    /// Request line and headers, in bytes.
    pub header_bytes: usize,
    /// Time for the headers to come.
    pub read_timeout: Duration,
}

/// Serves until the listener's task is aborted.
pub async fn serve<F, R>(listener: TcpListener, limits: ServerLimits, handler: F)
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = AnyResponse> + Send + 'static,
{
    let read_timeout = move || limits.read_timeout;
    serve_and_close(listener, limits, read_timeout, Arc::default(), handler).await;
}

/// The same for a server whose connections are counted, and closed before its process ends. Each
/// connection gets the `read_timeout` of the moment at which it is taken.
pub async fn serve_and_close<F, R>(
    listener: TcpListener,
    limits: ServerLimits,
    read_timeout: impl Fn() -> Duration,
    connections: Arc<Connections>,
    handler: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = AnyResponse> + Send + 'static,
{
    let handler = Arc::new(handler);
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of file descriptors: connections in progress end and free some.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let handler = Arc::clone(&handler);
        let open = connections.open();
        let limits = ServerLimits {
            read_timeout: read_timeout(),
            ..limits
        };
        tokio::spawn(async move {
            serve_connection(stream, peer, limits, open, handler).await;
            drop(permit);
        });
    }
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServerLimits,
    open: OpenConnection,
    handler: Arc<F>,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = AnyResponse> + Send + 'static,
{
    // Without it each token of a stream may wait for the acknowledgement of the one before.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    // The system's own bound is megabytes, and it wakes a writer only when a good part of that is
    // free: a slow reader would cost that much memory and look as if it took nothing.
    if SockRef::from(&stream)
        .set_send_buffer_size(SEND_BUFFER)
        .is_err()
    {
        return;
    }
    let service = service_fn(move |req| {
        let answer = handler(req, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.read_timeout)
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER))
            .serve_connection(TokioIo::new(stream), service)
    );
    let told_to_close = tokio::select! {
        // An error here is the peer's: it has gone, or sent what is not HTTP and was told so.
        _ = connection.as_mut() => false,
        () = open.told_to_close() => true,
    };
    if told_to_close {
        connection.as_mut().graceful_shutdown();
        let _outcome = connection.await;
    }
}

/// Bytes of an answer that the system holds for one connection.
const SEND_BUFFER: usize = 64 * 1024;

/// The least buffer that the library takes, in bytes.
const MIN_BUFFER: usize = 8192;

/// The type of a body that is a line or two for people.
pub const TEXT: &str = "text/plain; charset=utf-8";

/// A whole body.
#[must_use]
pub fn full(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> AnyResponse {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
/// Returns the status to answer with: 413 for a larger body, 408 for a slow one, 400 for a broken one.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, StatusCode> {
    let collected = tokio::time::timeout(timeout, Limited::new(body, limit).collect());
    match collected.await {
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
    }
}
