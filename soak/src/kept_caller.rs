//! Callers that keep their connection to a router that is told to stop, and send a request as soon as the last one is
//! answered, so that one is often in a socket when the router closes it.

use std::io::{BufRead, BufReader, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::client::REQUEST_TIMEOUT;
use crate::operator::HOST;

/// Number of callers of a router that is told to stop.
pub const KEPT_CALLERS: usize = 8;

/// Sends requests without a key, which the router answers itself, on connections that are kept until a response asks to
/// leave, one after the other until the router accepts none. Returns the time from a whole request to the end of its
/// connection with no byte of a response; `None` if there was none such, or if the end had arrived by the time the request
/// was sent.
///
/// The router is called without a proxy: a request is in its socket, or refused by it, when the call that sends it
/// returns, and an end that it sent before has arrived by then.
///
/// ```
/// use coltsfootnotch_soak::kept_caller::call_until_refused;
/// assert_eq!(call_until_refused("127.0.0.1:1".parse().unwrap()), None);
/// ```
#[must_use]
pub fn call_until_refused(router: SocketAddr) -> Option<Duration> {
    loop {
        let stream = TcpStream::connect(router).ok()?;
        if let Some(waited) = call_until_last(stream).ok()? {
            return Some(waited);
        }
    }
}

/// Sends requests on a connection until a response asks to leave, or one is left without a response: then returns how long
/// that one waited.
fn call_until_last(mut stream: TcpStream) -> Result<Option<Duration>> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    let request =
        format!("POST /once/x HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 6\r\n\r\na body");
    loop {
        stream.write_all(request.as_bytes())?;
        let sent = Instant::now();
        if !is_open(&stream)? {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        match read_response(&stream)? {
            Response::None => return Ok(Some(sent.elapsed())),
            Response::Last => return Ok(None),
            Response::Whole => {}
        }
    }
}

/// Whether the end of the connection has not arrived.
fn is_open(stream: &TcpStream) -> Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(n) => n > 0,
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    })
}

enum Response {
    /// The connection ended without a byte.
    None,
    /// The router closes the connection after it.
    Last,
    Whole,
}

fn read_response(stream: &TcpStream) -> Result<Response> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        match reader.read_line(&mut head) {
            Ok(0) if head.is_empty() => return Ok(Response::None),
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => {}
            Err(e) if head.is_empty() && e.kind() == ErrorKind::ConnectionReset => {
                return Ok(Response::None);
            }
            Err(e) => return Err(e),
        }
    }
    let head = head.to_lowercase();
    let value = |name| head.lines().find_map(|line| line.strip_prefix(name));
    let length = value("content-length: ").and_then(|n| n.parse().ok());
    let mut body = vec![0; length.ok_or(ErrorKind::InvalidData)?];
    reader.read_exact(&mut body)?;
    if value("connection: ") == Some("close") {
        return Ok(Response::Last);
    }
    Ok(Response::Whole)
}
