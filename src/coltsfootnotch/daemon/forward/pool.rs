//! Connections to upstreams, kept for further requests.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::messages::Ticket;

/// Time for a new connection. Within a region it takes some milliseconds; a host that is dark or cut
/// off never answers, and the caller's time is better spent at another upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an idle connection is used again where the upstream does not say how long it keeps it.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// Share of the time that the upstream states: a request that meets the upstream's close may or may
/// not have been read, which only matters where it can't be repeated.
const USED_SHARE: f64 = 0.6;

/// Idle connections kept at most for one upstream.
const MAX_IDLE: usize = 64;

/// A connection to an upstream. Dropped, it is closed: an upstream stops work whose caller has left.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether requests went over it before.
    pub(super) reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    until: Instant,
}

type Key = (SocketAddr, Arc<str>, u64);

/// Idle connections, by address and run of the upstream: at an address that was given to another
/// upstream, connections to the one before must not be used.
#[derive(Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<Key, Vec<Idle>>>,
}

impl Pool {
    /// A connection to the upstream: the idle one used last, or a new one.
    ///
    /// # Errors
    /// Returns an error when no connection can be had in time.
    pub(super) async fn get(&self, ticket: &Ticket) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(ticket) {
            return Ok(connection);
        }
        connect(ticket.address).await
    }

    fn take_idle(&self, ticket: &Ticket) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&key(ticket))?;
        while let Some(found) = list.pop() {
            let is_open = found.connection.sender.is_ready() && now < found.until;
            if is_open {
                let mut connection = found.connection;
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has come whole.
    pub(super) fn put(&self, ticket: &Ticket, connection: Connection, keep: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let keep = keep.unwrap_or(DEFAULT_KEEP).mul_f64(USED_SHARE);
        let until = Instant::now() + keep;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(key(ticket)).or_default();
        if list.len() < MAX_IDLE.min(ticket.connections) {
            list.push(Idle { connection, until });
        }
    }

    /// Closes connections that are past their time, and those of upstreams that are gone.
    pub(super) fn sweep(&self, is_known: impl Fn(&str, u64) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, id, born_ms), list| {
            list.retain(|i| now < i.until && !i.connection.sender.is_closed());
            is_known(id, *born_ms) && !list.is_empty()
        });
    }
}

fn key(ticket: &Ticket) -> Key {
    (ticket.address, ticket.upstream.clone(), ticket.born_ms)
}

async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // An error of the connection reaches whoever waits for the answer on it.
    let task = tokio::spawn(async move { drop(connection.await) });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        reused: false,
    })
}
