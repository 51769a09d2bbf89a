//! One connection of an HTTP server, from its first request to its end.
//!
//! A caller may send a request without waiting for the end of the response before it. The HTTP library reads such
//! a request with what comes before, and drops it where it ends the connection. What it leaves is served or
//! refused here, so that each request that has arrived gets a response.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use super::closing_responses::{refuse, until_aborted};
use super::connection_io::{ConnectionIo, ReserveBuffer, ServerSocket};
use super::connection_slots::Slot;
use super::connection_state::ConnectionState;
use super::http_server::{AnyBody, AnyResponse, ConnectionLimits};
use super::request_body::{RequestBody, discard_left_body};

/// Time for which an idle connection is kept once it is told to close: the caller may have a request on its
/// way, and the runtime learns of one that has arrived in its next turn only.
pub(crate) const CLOSE_LINGER: Duration = Duration::from_millis(100);

/// Time for the rest of a request of which a part has arrived on a kept connection that is told to close. A
/// part of the first request on a new connection has the usual read timeout.
pub(crate) const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which requests behind a last response are refused, and a body that was left unread is discarded.
const REST_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes of a body left unread that are discarded: the longest body that is allowed without a limit in the
/// configuration. A connection that is closed with more unread is reset, which may lose its last response.
const MAX_DISCARDED: usize = 4 * 1024 * 1024;

/// Bytes that are discarded by one read.
const DISCARD_BYTES: usize = 16 * 1024;

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER: usize = 8192;

/// What a connection is served with besides its limits.
pub struct ConnectionCx {
    peer: SocketAddr,
    state: Arc<ConnectionState>,
    reserve_buffer: ReserveBuffer,
    write_timeout: Option<Duration>,
}

impl ConnectionCx {
    /// A connection that has a slot of its listener.
    pub(crate) fn with_slot(peer: SocketAddr, slot: &Slot) -> Self {
        Self {
            state: slot.state(),
            ..Self::from(peer)
        }
    }

    /// Has `reserve_buffer` account for the bytes that the connection's buffer takes from then on, besides the first 8
    /// KiB, as a head outgrows it; the connection is closed if it refuses.
    #[must_use]
    pub fn reserve_buffer(self, reserve: impl FnMut(u64) -> bool + Send + 'static) -> Self {
        Self {
            reserve_buffer: Box::new(reserve),
            ..self
        }
    }

    /// Has the connection closed if its peer takes no bytes for `time`.
    #[must_use]
    pub fn write_timeout(self, time: Duration) -> Self {
        Self {
            write_timeout: Some(time),
            ..self
        }
    }
}

impl From<SocketAddr> for ConnectionCx {
    /// A connection whose buffer and time to write are not limited.
    fn from(peer: SocketAddr) -> Self {
        Self {
            peer,
            state: Arc::default(),
            reserve_buffer: Box::new(|_| true),
            write_timeout: None,
        }
    }
}

type Connection<S, H> = http1::Connection<TokioIo<ConnectionIo<S>>, H>;

/// Serves one connection until it is closed. Once `closing` completes, closes it after the current response,
/// or the response to a request that has arrived. Requests behind a response that is the last one are refused
/// as not run. Once what `aborting` returns completes as well, ends the request in progress: its caller is told
/// whether it may have run, and a response that has begun is broken off. `limits` is evaluated as the connection
/// begins, and again when it has been idle for as long as they allow. Returns whether the connection was told to
/// close and was closed with bytes of its peer unread.
pub async fn serve_connection<S, F, R, C>(
    stream: S,
    cx: impl Into<ConnectionCx>,
    limits: impl Fn() -> ConnectionLimits,
    closing: impl Future<Output = ()>,
    aborting: impl Fn() -> C,
    handler: &F,
) -> bool
where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    F: Fn(Request<RequestBody>, SocketAddr) -> R,
    R: Future<Output = AnyResponse>,
    C: Future<Output = ()>,
{
    let cx = cx.into();
    let (peer, state) = (cx.peer, cx.state);
    let io = ConnectionIo::new(
        stream,
        Arc::clone(&state),
        cx.reserve_buffer,
        cx.write_timeout,
    );
    let service = service_fn(|req: Request<Incoming>| {
        let version = req.version();
        // Such a caller sends its body only once it is asked to, by a read of it.
        let awaits_continue = req.headers().contains_key(EXPECT);
        state.begin_request(version, req.headers());
        let req = req.map(|body| RequestBody::new(body, Arc::clone(&state)));
        let state = Arc::clone(&state);
        // Boxed, as each open connection holds the space of a request's future.
        Box::pin(async move {
            let response = if state.should_refuse() {
                refuse(req).await
            } else {
                let handled = pin!(handler(req, peer));
                until_aborted(handled, &state).await
            };
            discard_left_body(&state, awaits_continue).await;
            Ok::<_, Infallible>(state.prepare(response, version))
        })
    });
    let mut in_force = limits();
    let mut connection = start(io, service, in_force);
    let mut closing = pin!(closing);
    let ended = loop {
        let ended = tokio::select! {
            ended = run(&mut connection) => ended,
            () = closing.as_mut() => break None,
        };
        if !ended.as_ref().is_err_and(hyper::Error::is_timeout) {
            break Some(ended);
        }
        let previous = std::mem::replace(&mut in_force, limits());
        let has_more_time = in_force.read_timeout > previous.read_timeout;
        match start_after_timeout(connection, in_force, has_more_time) {
            Some(started) => connection = started,
            None => return false,
        }
    };
    let is_closing = ended.is_none();
    let ended = match ended {
        Some(ended) => ended,
        // Boxed, as each open connection holds the space of its timers.
        None => Box::pin(close_or_abort(&mut connection, &state, aborting())).await,
    };
    if ended.is_ok() {
        let ending = end(connection, in_force, &state, is_closing);
        // Boxed for the same reason.
        Box::pin(end_or_abort(ending, &state, aborting())).await;
    }
    state.is_closed_unread.load(Ordering::Acquire)
}

/// Goes on with a connection whose time for the next request is over, if it has been idle and `has_more_time`, or
/// has bytes unread: the runtime learns of a request that has arrived in its next turn only.
fn start_after_timeout<S, H>(
    connection: Connection<S, H>,
    limits: ConnectionLimits,
    has_more_time: bool,
) -> Option<Connection<S, H>>
where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    H: HttpService<Incoming, ResBody = AnyBody, Error = Infallible>,
{
    let parts = connection.into_parts();
    let io = parts.io.into_inner();
    let goes_on = parts.read_buf.is_empty() && (has_more_time || io.has_unread());
    goes_on.then(|| start(io, parts.service, limits))
}

/// Ends a connection; once `aborting` completes, without waiting for the requests in progress.
async fn end_or_abort(
    mut ending: Pin<Box<impl Future<Output = ()>>>,
    state: &ConnectionState,
    aborting: impl Future<Output = ()>,
) {
    tokio::select! {
        () = ending.as_mut() => return,
        () = aborting => state.is_aborting.store(true, Ordering::Release),
    }
    ending.await;
}

fn start<S, H>(io: ConnectionIo<S>, service: H, limits: ConnectionLimits) -> Connection<S, H>
where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    H: HttpService<Incoming, ResBody = AnyBody, Error = Infallible>,
{
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(io), service)
}

/// Serves a connection until the HTTP library ends it, and leaves its socket open.
async fn run<S, H>(connection: &mut Connection<S, H>) -> hyper::Result<()>
where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    H: HttpService<Incoming, ResBody = AnyBody, Error = Infallible> + Unpin,
    H::Future: Unpin,
{
    poll_fn(|cx| connection.poll_without_shutdown(cx)).await
}

/// Ends a connection once no request is in progress or on its way, or ends what is in progress.
async fn close_or_abort<S, H>(
    connection: &mut Connection<S, H>,
    state: &ConnectionState,
    aborting: impl Future<Output = ()>,
) -> hyper::Result<()>
where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    H: HttpService<Incoming, ResBody = AnyBody, Error = Infallible> + Unpin,
    H::Future: Unpin,
{
    tokio::select! {
        ended = close(connection, state) => return ended,
        () = aborting => {}
    }
    state.is_closing.store(true, Ordering::Release);
    state.is_aborting.store(true, Ordering::Release);
    // The request and the response body see the flag as they are polled.
    if let Some(ended) = serve_while_awaited(connection, state).await {
        return ended;
    }
    Pin::new(&mut *connection).graceful_shutdown();
    run(connection).await
}

/// Ends a connection once no request is in progress or on its way.
async fn close<S, H>(
    connection: &mut Connection<S, H>,
    state: &ConnectionState,
) -> hyper::Result<()>
where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    H: HttpService<Incoming, ResBody = AnyBody, Error = Infallible> + Unpin,
    H::Future: Unpin,
{
    state.has_written.store(false, Ordering::Release);
    state.is_closing.store(true, Ordering::Release);
    if let Some(ended) = serve_while_awaited(connection, state).await {
        return ended;
    }
    Pin::new(&mut *connection).graceful_shutdown();
    run(connection).await
}

/// Serves a connection for [`CLOSE_LINGER`], and on while the rest of a request is awaited; none if it has not
/// ended by then.
async fn serve_while_awaited<S, H>(
    connection: &mut Connection<S, H>,
    state: &ConnectionState,
) -> Option<hyper::Result<()>>
where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    H: HttpService<Incoming, ResBody = AnyBody, Error = Infallible> + Unpin,
    H::Future: Unpin,
{
    if let Ok(ended) = timeout(CLOSE_LINGER, run(connection)).await {
        return Some(ended);
    }
    let served = poll_fn(|cx| match connection.poll_without_shutdown(cx) {
        Poll::Ready(ended) => Poll::Ready(Some(ended)),
        Poll::Pending if state.expects_rest.load(Ordering::Acquire) => Poll::Pending,
        Poll::Pending => Poll::Ready(None),
    });
    let served = timeout(PARTIAL_REQUEST_TIMEOUT, served).await;
    served.unwrap_or_default()
}

/// Ends a connection that the HTTP library has left with `read_buf` unserved: responds to the requests behind
/// the last one served, and closes the socket. Requests are refused, unless the connection was told to close and
/// no response has said yet that it would be.
///
/// No `async fn`, since each open connection would hold the space of what is moved here.
fn end<S, H>(
    connection: Connection<S, H>,
    limits: ConnectionLimits,
    state: &ConnectionState,
    is_closing: bool,
) -> Pin<Box<impl Future<Output = ()>>>
where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    H: HttpService<Incoming, ResBody = AnyBody, Error = Infallible> + Unpin,
    H::Future: Unpin,
{
    let parts = connection.into_parts();
    let io = parts.io.into_inner();
    let rest = respond_to_rest(io, parts.read_buf, parts.service, limits, state, is_closing);
    Box::pin(rest)
}

async fn respond_to_rest<S, H>(
    mut io: ConnectionIo<S>,
    mut read_buf: Bytes,
    mut service: H,
    limits: ConnectionLimits,
    state: &ConnectionState,
    is_closing: bool,
) where
    S: AsyncRead + AsyncWrite + ServerSocket + Unpin,
    H: HttpService<Incoming, ResBody = AnyBody, Error = Infallible> + Unpin,
    H::Future: Unpin,
{
    let deadline = Instant::now() + REST_TIMEOUT;
    loop {
        io.put_back(read_buf);
        let is_refusing = !is_closing || state.has_said_close.load(Ordering::Acquire);
        let has_responded = state.has_written.swap(false, Ordering::AcqRel);
        // The caller of a response that did not say so may send its next request.
        let may_go_on = io.has_unread() || (has_responded && !is_refusing);
        let can_go_on = state.can_find_next_request() && Instant::now() < deadline;
        if !may_go_on || !can_go_on {
            break;
        }
        state.is_refusing.store(is_refusing, Ordering::Release);
        state.is_closing.store(true, Ordering::Release);
        state.has_begun.store(false, Ordering::Release);
        let mut connection = start(io, service, limits);
        let ended = match serve_while_awaited(&mut connection, state).await {
            Some(ended) => ended,
            None if state.has_begun.load(Ordering::Acquire) => run(&mut connection).await,
            // What has arrived is no whole request.
            None => Ok(()),
        };
        let parts = connection.into_parts();
        (io, read_buf, service) = (parts.io.into_inner(), parts.read_buf, parts.service);
        if ended.is_err() {
            // The socket is dropped as it is: a response that was broken off has no orderly end.
            return;
        }
    }
    // What is left of a body may not have arrived yet.
    let has_rest = io.has_unread() || state.has_body_left.load(Ordering::Acquire);
    if io.shutdown().await.is_ok() && has_rest {
        io.begin_discarding();
        // Boxed, since few connections need its buffer.
        let discarded = Box::pin(discard(&mut io));
        let _rest = timeout(REST_TIMEOUT, discarded).await;
    }
}

/// Reads what the peer sends until it closes the connection: while bytes are unread, the system resets a
/// connection that is closed, and the peer may lose the last response.
pub(super) async fn discard<S: AsyncRead + Unpin>(io: &mut S) {
    let mut buf = [0; DISCARD_BYTES];
    let mut discarded = 0;
    while discarded < MAX_DISCARDED {
        match io.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(len) => discarded += len,
        }
    }
}

#[cfg(test)]
#[path = "departure_tests.rs"]
mod departure_tests;
