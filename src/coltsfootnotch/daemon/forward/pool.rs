//! Pool of idle connections to upstreams.

use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coltsfootnotch_forward::held::{HeldKind, HeldResources, Hold, Load};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::costs::UPSTREAM_BYTES;
use super::messages::Ticket;
use super::read_limit::ReadLimit;
use super::upstream_socket::{SocketProbe, UpstreamSocket};
use crate::util::buffered_body::BufferedBody;
use crate::util::http_server::limit_unread;

/// Timeout of a new connection. Connecting takes some milliseconds within a region; an unreachable
/// host must leave time for another upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Keep-alive time of an idle connection if the upstream states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Longest time for which an idle connection is kept. What is used no more for so long holds a socket and memory here
/// and at the upstream, whatever that states.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Share of the keep-alive time for which a connection is reused. Whether the upstream read a
/// request that crosses its close is unknown, and such a request may not be repeatable.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// Most bytes of a response that its connection buffers; bounds its headers as well.
const READ_BYTES: usize = 64 * 1024;

/// Most idle connections to one upstream.
const MAX_IDLE: usize = 64;

/// A connection to an upstream. Dropping it closes the connection, which makes the upstream stop
/// work for a caller that has disconnected.
pub(super) struct Connection {
    pub(super) sender: SendRequest<BufferedBody>,
    probe: SocketProbe,
    limit: Arc<ReadLimit>,
    task: AbortHandle,
    /// Whether it was used before.
    pub(super) reused: bool,
    _hold: Hold,
}

impl Connection {
    /// Notes that a request is sent, or that a part of its response is complete.
    pub(super) fn on_progress(&self) {
        self.limit.on_progress();
    }

    /// The bytes that came since the request was sent or a part of its response was complete.
    pub(super) fn bytes_without_progress(&self) -> u64 {
        self.limit.without_progress()
    }

    /// The bytes that came and are no part of a response, if there were too many.
    pub(super) fn bytes_without_end(&self) -> Option<u64> {
        self.limit.exceeded_by()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    expires_at: Instant,
}

type Key = (SocketAddr, Arc<str>, u64);

/// Idle connections by address, upstream and start time of its process. If an address is reassigned
/// to another upstream, connections to the previous one are not reused.
pub(super) struct Pool {
    idle: Mutex<HashMap<Key, Vec<Idle>>>,
    held: Arc<HeldResources>,
}

impl Pool {
    /// An empty pool, whose connections count in `held`.
    pub(super) fn new(held: Arc<HeldResources>) -> Self {
        Self {
            idle: Mutex::default(),
            held,
        }
    }

    /// Returns the most recently used idle connection to the upstream, or a new one.
    ///
    /// # Errors
    /// Returns an error when connecting fails or times out.
    pub(super) async fn get(&self, ticket: &Ticket) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(ticket) {
            return Ok(connection);
        }
        let hold = self.held.hold(HeldKind::Upstream, None, UPSTREAM_BYTES, 1);
        connect(ticket.address, hold).await
    }

    fn take_idle(&self, ticket: &Ticket) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&key(ticket))?;
        while let Some(found) = list.pop() {
            let is_open = found.connection.sender.is_ready() && now < found.expires_at;
            if is_open && found.connection.probe.is_idle() {
                let mut connection = found.connection;
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) fn put(
        &self,
        ticket: &Ticket,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        if connection.sender.is_closed() || self.held.load() >= Load::Refusing {
            return;
        }
        let keep_alive = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .min(MAX_KEEP_ALIVE)
            .mul_f64(KEEP_ALIVE_SHARE);
        let expires_at = Instant::now() + keep_alive;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(key(ticket)).or_default();
        if list.len() < MAX_IDLE.min(ticket.connections) {
            list.push(Idle {
                connection,
                expires_at,
            });
        }
    }

    /// Closes expired connections and those of removed upstreams.
    pub(super) fn sweep(&self, is_live: impl Fn(&str, u64) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, id, born_ms), list| {
            list.retain(|i| now < i.expires_at && !i.connection.sender.is_closed());
            is_live(id, *born_ms) && !list.is_empty()
        });
    }
}

fn key(ticket: &Ticket) -> Key {
    (ticket.address, ticket.upstream.clone(), ticket.born_ms)
}

async fn connect(address: SocketAddr, hold: Hold) -> io::Result<Connection> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    stream.set_nodelay(true)?;
    limit_unread(&stream)?;
    let limit = Arc::<ReadLimit>::default();
    let socket = UpstreamSocket::new(stream, Arc::clone(&limit));
    let probe = socket.probe();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    // The sender returns connection errors to the pending request.
    let turns = Arc::clone(&limit);
    let task = tokio::spawn(async move {
        let mut connection = pin!(connection);
        drop(
            poll_fn(|cx| {
                turns.begin_turn();
                connection.as_mut().poll(cx)
            })
            .await,
        );
    });
    Ok(Connection {
        sender,
        probe,
        limit,
        task: task.abort_handle(),
        reused: false,
        _hold: hold,
    })
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
