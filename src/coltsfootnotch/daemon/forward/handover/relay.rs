//! Relaying of a caller's connection to a neighbour.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::exchanges::Exchanges;
use super::frame::{HEADER_BYTES, Header};
use super::probes::probe_peer;
use crate::util::connection_io::ServerSocket;
use crate::util::http_server::{CLOSE_LINGER, PARTIAL_REQUEST_TIMEOUT};

/// Timeout of the connection to a neighbour, which takes a millisecond within a failure domain. The
/// caller is served here after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after a neighbour was asked to close for which requests are still passed on to it. It serves an idle connection
/// for [`CLOSE_LINGER`] then; a request on its way as it closes might have run for all that its caller can be told.
const PASS_ON_TIME: Duration = CLOSE_LINGER.checked_div(2).unwrap();

/// Completes once the peer has closed its connection, whatever is unread: no peer sends urgent data.
const READ_CLOSED: Interest = Interest::PRIORITY;

/// Bytes of the caller that are read at once; most requests fit.
const REQUEST_BYTES: usize = 8 * 1024;
/// Bytes of the neighbour that are read at once; most events of streams fit.
const RESPONSE_BYTES: usize = 2 * 1024;

/// Connects to a neighbour.
///
/// # Errors
/// Returns an error when it doesn't accept the connection in time.
pub(in crate::daemon::forward) async fn connect(neighbour: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(neighbour);
    let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    stream.set_nodelay(true)?;
    probe_peer(&stream)?;
    Ok(stream)
}

/// The response to a caller whose neighbour is gone before it has begun to respond.
const LOST_RESPONSE: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\nconnection: close\r\n\
    content-type: text/plain; charset=utf-8\r\ncontent-length: 50\r\n\r\n\
    the serving host is gone; the request may have run";

/// The response to a caller whose neighbour is gone before any byte of the request was passed on.
const NOT_RUN_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    retry-after: 0\r\ncontent-type: text/plain; charset=utf-8\r\ncontent-length: 50\r\n\r\n\
    the serving host is gone; the request did not run\n";

/// Which end closed its connection or broke it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Caller,
    NeighbourClosed,
    NeighbourBroken,
    /// The process ends.
    Aborted,
}

/// How a relayed connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::daemon::forward) enum RelayEnd {
    /// With nobody who waited for a response.
    Closed,
    /// The neighbour was gone as the caller's next request arrived, which was refused as not run.
    Refused,
    /// The neighbour was gone while the caller waited for a response, and the caller got a failure.
    NeighbourLost {
        /// Whether its connection broke; otherwise it was closed in order.
        is_broken: bool,
    },
}

/// Relays between a caller and the neighbour that serves it, until one of them closes its connection;
/// both are closed then. Once `closing` completes, or the first bytes of the caller have passed if
/// `is_single`, asks the neighbour to close the connection after the response in progress; `closing` returns the time
/// until `aborting` completes, if that is known. A caller whose
/// neighbour is gone before it has begun to respond gets a failure, or a refusal if the request was not
/// passed on. Once `aborting` completes, as shortly before the end of the process, the caller of a request gets the
/// same failure, and a response that has begun is broken off.
///
/// `reserve` is called with the bytes that are held, besides the buffers, of heads that have not arrived whole and of
/// requests without a response, as they change; the connection is closed if it refuses.
///
/// # Errors
/// Returns an error when the connection to the caller is broken by then.
pub(in crate::daemon::forward) async fn relay(
    mut caller: TcpStream,
    mut neighbour: TcpStream,
    closing: impl Future<Output = Option<Duration>>,
    aborting: impl Future<Output = ()>,
    is_single: bool,
    reserve: impl FnMut(u64) -> bool,
) -> io::Result<RelayEnd> {
    let mut exchanges = Exchanges::default();
    let ends = (&mut caller, &mut neighbour);
    let relaying = relay_until_closed(ends, closing, is_single, &mut exchanges, reserve);
    let end = tokio::select! {
        end = relaying => end,
        () = aborting => End::Aborted,
    };
    if end == End::Caller {
        return Ok(RelayEnd::Closed);
    }
    if end == End::Aborted && exchanges.is_writing {
        // A part of the response has been written, so nothing else may follow it.
        caller.set_reset_on_close(true)?;
        return Ok(RelayEnd::Closed);
    }
    if exchanges.awaits_response() {
        caller.write_all(LOST_RESPONSE).await?;
        if end == End::Aborted {
            return Ok(RelayEnd::Closed);
        }
        let is_broken = end == End::NeighbourBroken;
        return Ok(RelayEnd::NeighbourLost { is_broken });
    }
    if end == End::Aborted && exchanges.is_response_in_progress() {
        caller.set_reset_on_close(true)?;
    }
    if exchanges.expects_request() && refuse_next_request(&mut caller, &mut exchanges).await? {
        return Ok(RelayEnd::Refused);
    }
    if end == End::NeighbourClosed && exchanges.response_may_end_with_connection() {
        caller.set_reset_on_close(false)?;
    }
    Ok(RelayEnd::Closed)
}

/// Refuses the request that a caller has sent as the neighbour's connection ended, or sends within a moment;
/// returns whether there was one.
async fn refuse_next_request(
    caller: &mut TcpStream,
    exchanges: &mut Exchanges,
) -> io::Result<bool> {
    let is_expected = timeout(CLOSE_LINGER, caller.readable()).await.is_ok();
    if !is_expected && !caller.has_unread() {
        return Ok(false);
    }
    // Closed with a part of the request unread, the connection would be reset and the response lost.
    let reading = read_request(caller, exchanges);
    if let Ok(read) = timeout(PARTIAL_REQUEST_TIMEOUT, reading).await {
        read?;
    }
    if exchanges.is_idle() {
        return Ok(false);
    }
    caller.write_all(NOT_RUN_RESPONSE).await?;
    Ok(true)
}

/// Reads a request, or to the end of the connection.
async fn read_request(caller: &mut TcpStream, exchanges: &mut Exchanges) -> io::Result<()> {
    let mut buf = vec![0; REQUEST_BYTES];
    while !exchanges.has_complete_request() {
        let len = caller.read(&mut buf).await?;
        if len == 0 {
            break;
        }
        exchanges.pass_request_bytes(&buf[..len]);
    }
    Ok(())
}

/// Relays in both directions; returns which end is closed, with the bytes that have passed in
/// `exchanges`.
async fn relay_until_closed(
    (caller, neighbour): (&mut TcpStream, &mut TcpStream),
    closing: impl Future<Output = Option<Duration>>,
    is_single: bool,
    exchanges: &mut Exchanges,
    mut reserve: impl FnMut(u64) -> bool,
) -> End {
    let mut held_bytes = 0;
    let mut request = [0; HEADER_BYTES + REQUEST_BYTES];
    let mut response = [0; RESPONSE_BYTES];
    let mut closing = std::pin::pin!(closing);
    let mut close_requested = false;
    // Completes when no further request is passed on.
    let mut passing_on = std::pin::pin!(sleep(Duration::MAX));
    let mut passes_on = true;
    let mut resets_caller = false;
    // A neighbour that reads no more may have responded before.
    let mut neighbour_reads = true;
    loop {
        tokio::select! {
            // The neighbour's end comes before bytes of the caller: a request that crosses it has
            // not been read, and its caller can tell that from a connection that is just closed.
            biased;
            time_left = closing.as_mut(), if !close_requested => {
                close_requested = true;
                passing_on.as_mut().reset(Instant::now() + PASS_ON_TIME);
                match write_to(neighbour, &Header::Close(time_left).encode(), caller).await {
                    Some(is_written) => neighbour_reads &= is_written,
                    None => return End::Caller,
                }
            }
            () = passing_on.as_mut(), if passes_on => passes_on = false,
            len = neighbour.read(&mut response) => {
                let len = match len {
                    Ok(0) => return End::NeighbourClosed,
                    // Broken, as by a process that is killed.
                    Err(_) => return End::NeighbourBroken,
                    Ok(len) => len,
                };
                exchanges.pass_response_bytes(&response[..len]);
                if exchanges.response_may_end_with_connection() && !resets_caller {
                    // An orderly close, as by the end of this process, would make it look complete.
                    if caller.set_reset_on_close(true).is_err() {
                        return End::Caller;
                    }
                    resets_caller = true;
                }
                exchanges.is_writing = true;
                let (reads, mut writes) = caller.split();
                let is_written = tokio::select! {
                    biased;
                    written = writes.write_all(&response[..len]) => written.is_ok(),
                    _ = reads.ready(READ_CLOSED) => false,
                };
                if !is_written {
                    return End::Caller;
                }
                exchanges.is_writing = false;
            }
            ready = caller.ready(Interest::READABLE),
                if neighbour_reads && (passes_on || !exchanges.is_idle()) => {
                // Seen before the bytes ahead of it are read: a neighbour would run the request
                // that they are part of for nobody.
                if ready.is_ok_and(|ready| ready.is_read_closed()) {
                    return End::Caller;
                }
                let len = match caller.try_read(&mut request[HEADER_BYTES..]) {
                    Ok(0) => return End::Caller,
                    Ok(len) => len,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(_) => return End::Caller,
                };
                exchanges.pass_request_bytes(&request[HEADER_BYTES..HEADER_BYTES + len]);
                let holds = exchanges.held_bytes();
                if holds != held_bytes && !reserve(holds) {
                    return End::Caller;
                }
                held_bytes = holds;
                request[..HEADER_BYTES].copy_from_slice(&Header::Data(len).encode());
                match write_to(neighbour, &request[..HEADER_BYTES + len], caller).await {
                    Some(is_written) => neighbour_reads = is_written,
                    None => return End::Caller,
                }
                if is_single && !close_requested {
                    close_requested = true;
                    passing_on.as_mut().reset(Instant::now() + PASS_ON_TIME);
                    match write_to(neighbour, &Header::Close(None).encode(), caller).await {
                        Some(is_written) => neighbour_reads &= is_written,
                        None => return End::Caller,
                    }
                }
            }
        }
    }
}

/// Writes bytes to the neighbour; returns whether they were written, and none if the caller has closed its
/// connection first.
async fn write_to(neighbour: &mut TcpStream, bytes: &[u8], caller: &TcpStream) -> Option<bool> {
    tokio::select! {
        biased;
        written = neighbour.write_all(bytes) => Some(written.is_ok()),
        _ = caller.ready(READ_CLOSED) => None,
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "relay_departure_tests.rs"]
mod departure_tests;

#[cfg(test)]
#[path = "relay_cut_tests.rs"]
mod cut_tests;
