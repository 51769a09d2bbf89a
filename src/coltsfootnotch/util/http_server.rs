//! HTTP server for callers, announcements and administration.
//!
//! Connections, header size and read time are bounded, since clients are not trusted to send little
//! or quickly. When the peer closes its connection, the handler's future or the body that it
//! returned is dropped, which cancels the request.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::{Request, Response, StatusCode};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::body_buffer::{CollectError, collect_body};
pub(crate) use super::connection::{CLOSE_LINGER, PARTIAL_REQUEST_TIMEOUT};
pub use super::connection::{ConnectionCx, serve_connection};
use super::connection_io::ServerSocket;
use super::connection_slots::{ConnectionSlots, Slot};
use super::connections::{Connections, OpenConnection};
use super::memory_budget::MemoryBudget;
use super::refused_connection::{MAX_WAITED_FOR, refuse_connection};
use super::request_body::RequestBody;

/// A body can't be completed; the connection is closed so that the body is not taken for complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the response body was aborted")]
pub struct BodyAborted;

/// A response body of any kind.
pub type AnyBody = BoxBody<Bytes, BodyAborted>;
/// A response with a body of any kind.
pub type AnyResponse = Response<AnyBody>;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections. For a further one, that is closed which has waited for its peer for the
    /// longest; if none waits, the further one is refused.
    pub connections: usize,
    /// Maximum size of the request line and headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of all heads in progress together that outgrow the first 8 KiB of their connections, in bytes;
    /// connections with further ones are closed.
    pub long_head_bytes: u64,
    /// Maximum time to receive the headers.
    pub read_timeout: Duration,
    /// Maximum time for which a peer takes no bytes of its response; its connection is closed then.
    pub write_timeout: Duration,
}

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum size of the request line and headers, in bytes.
    pub header_bytes: usize,
    /// Maximum time to receive the headers.
    pub read_timeout: Duration,
}

/// Serves connections until its task is aborted.
pub async fn serve<F, R>(listener: TcpListener, limits: ServerLimits, handler: F)
where
    F: Fn(Request<RequestBody>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = AnyResponse> + Send + 'static,
{
    let read_timeout = move || limits.read_timeout;
    serve_and_close(listener, limits, read_timeout, Arc::default(), handler).await;
}

/// Like [`serve`], with connections that are tracked in `connections` and can be closed gracefully.
/// `read_timeout` is evaluated when a connection is accepted, and again when it has been idle for so long.
pub async fn serve_and_close<F, R>(
    listener: TcpListener,
    limits: ServerLimits,
    read_timeout: impl Fn() -> Duration + Send + Sync + 'static,
    connections: Arc<Connections>,
    handler: F,
) where
    F: Fn(Request<RequestBody>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = AnyResponse> + Send + 'static,
{
    let (handler, read_timeout) = (Arc::new(handler), Arc::new(read_timeout));
    let slots = ConnectionSlots::new(limits.connections);
    let long_heads = MemoryBudget::new(limits.long_head_bytes);
    let admit = || slots.take();
    let serve = |stream: TcpStream, peer, open: OpenConnection, slot: Slot| {
        let (handler, read_timeout) = (Arc::clone(&handler), Arc::clone(&read_timeout));
        let mut head = long_heads.hold();
        let cx = ConnectionCx::with_slot(peer, &slot)
            .reserve_buffer(move |bytes| head.try_resize(bytes))
            .write_timeout(limits.write_timeout);
        async move {
            if prepare(&stream).is_err() {
                return;
            }
            let limits = || ConnectionLimits {
                header_bytes: limits.header_bytes,
                read_timeout: read_timeout(),
            };
            let never = std::future::pending();
            serve_in_slot(stream, cx, limits, &open, &slot, never, &*handler).await;
        }
    };
    accept_connections(listener, admit, connections, serve).await;
}

/// Serves a connection until it ends or loses its slot. Closes it after the current response once `closing` completes or
/// its listener closes its connections; see [`serve_connection`].
pub(crate) async fn serve_in_slot<S, F, R>(
    stream: S,
    cx: ConnectionCx,
    limits: impl Fn() -> ConnectionLimits,
    open: &OpenConnection,
    slot: &Slot,
    closing: impl Future<Output = ()>,
    handler: &F,
) where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    F: Fn(Request<RequestBody>, SocketAddr) -> R,
    R: Future<Output = AnyResponse>,
{
    let closing = async {
        tokio::select! {
            () = closing => {}
            () = open.closing() => {}
        }
    };
    let aborting = || open.aborting();
    let served = serve_connection(stream, cx, limits, closing, aborting, handler);
    tokio::select! {
        is_unread = served => open.count_if_unread(is_unread),
        () = slot.evicted() => {}
    }
}

/// Accepts connections and runs `serve` on each in a task of its own, with its permit, until `connections`
/// are told to close; those in the queue by then are accepted as well. Connections that `admit` gives no
/// permit are refused without being parsed.
pub async fn accept_connections<P, F, R>(
    listener: TcpListener,
    admit: impl Fn() -> Option<P>,
    connections: Arc<Connections>,
    serve: F,
) where
    F: Fn(TcpStream, SocketAddr, OpenConnection, P) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let _counted = connections.listen();
    let refusals = Arc::new(Semaphore::new(MAX_WAITED_FOR));
    let start = |stream, peer| {
        let open = connections.open();
        match admit() {
            Some(permit) => drop(tokio::spawn(serve(stream, peer, open, permit))),
            None => refuse(stream, open, Arc::clone(&refusals)),
        }
    };
    let mut closing = pin!(connections.closing());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.as_mut() => break,
        };
        let Ok((stream, peer)) = accepted else {
            // Out of file descriptors: retry once open connections have released some.
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        start(stream, peer);
    }
    // The system resets what is left in the queue, though requests may have been sent on it.
    if let Err(e) = accept_queued(listener, start).await {
        log::warn!("connections are left in the queue of a listener: {e}");
    }
}

/// Refuses a connection, which is counted as open until it is closed.
fn refuse(stream: TcpStream, open: OpenConnection, refusals: Arc<Semaphore>) {
    tokio::spawn(async move {
        refuse_connection(stream, &refusals).await;
        drop(open);
    });
}

/// Accepts all connections in the queue of a listener and closes it. The system is asked, since the runtime
/// learns of new connections in its next turn only.
///
/// # Errors
/// Returns an error when no descriptor gets free within [`QUEUE_TIMEOUT`].
async fn accept_queued(
    listener: TcpListener,
    start: impl Fn(TcpStream, SocketAddr),
) -> io::Result<()> {
    let listener = listener.into_std()?;
    let deadline = Instant::now() + QUEUE_TIMEOUT;
    loop {
        let accepted = listener.accept().and_then(|(stream, peer)| {
            stream.set_nonblocking(true)?;
            Ok((TcpStream::from_std(stream)?, peer))
        });
        match accepted {
            Ok((stream, peer)) => start(stream, peer),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(e) if Instant::now() >= deadline => return Err(e),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Delay after a connection could not be accepted, as without a free descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time in which the queue of a listener that is closed is accepted.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sets the options of an accepted connection.
///
/// # Errors
/// Returns an error when the connection is closed already.
pub fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    // Nagle's algorithm delays each token of a stream until the previous one is acknowledged.
    stream.set_nodelay(true)?;
    // The system's default is megabytes, and a writer is woken only once much of that is free. A
    // slow reader then holds that much memory and appears to be stalled.
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER)?;
    limit_unread(stream)
}

/// Size of the socket's send buffer, in bytes.
const SEND_BUFFER: usize = 64 * 1024;

/// Size of a socket's receive buffer, in bytes.
const RECEIVE_BUFFER: usize = 32 * 1024;

/// Limits what a peer may send before it is read. The system would let the buffer of a peer that has sent much grow to
/// megabytes, which count as memory of the process.
///
/// # Errors
/// Returns an error when the connection is closed already.
pub(crate) fn limit_unread(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_recv_buffer_size(RECEIVE_BUFFER)
}

/// Content type of a plain-text body.
pub const TEXT: &str = "text/plain; charset=utf-8";

/// Creates a response with a complete body.
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
/// Returns the status to respond with: 413 for a larger body, 408 on a timeout, 400 for a broken
/// body.
pub async fn read_body(
    body: RequestBody,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, StatusCode> {
    read_body_with(body, limit, timeout, |_| true).await
}

/// The same with memory that `reserve` allows; see [`collect_body`].
///
/// # Errors
/// Returns the same, and 503 if `reserve` refuses memory.
pub async fn read_body_with(
    body: RequestBody,
    limit: usize,
    timeout: Duration,
    reserve: impl FnMut(u64) -> bool,
) -> Result<Bytes, StatusCode> {
    let collected = tokio::time::timeout(timeout, collect_body(body, limit, reserve)).await;
    let collected = collected.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
    collected.map_err(|e| match e {
        CollectError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        CollectError::Broken => StatusCode::BAD_REQUEST,
        CollectError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
    })
}

#[cfg(test)]
#[path = "http_server_tests.rs"]
mod tests;
