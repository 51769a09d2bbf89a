//! Clients that stay connected to one listener and never read what they are sent.

use std::collections::HashSet;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Time limit for a connection to be accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without progress after which a crowd counts as sent: the listener reads no more of it.
const STALL: Duration = Duration::from_secs(2);
/// Most bytes that a client sends in its turn.
const TURN_BYTES: usize = 64 * 1024;
/// Receive buffer of a client, in bytes: its listener soon has to keep what it sends.
const RECEIVE_BUFFER: usize = 4 * 1024;
/// Bytes of a large chunk.
pub(crate) const LARGE_CHUNK: usize = 64 * 1024;

/// Held by a test while it runs, so that its crowd is the only one.
pub(crate) fn only_crowd() -> MutexGuard<'static, ()> {
    static ONLY: Mutex<()> = Mutex::new(());
    ONLY.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Clients that stay connected until this value is dropped.
pub(crate) struct Crowd {
    clients: Vec<Client>,
}

struct Client {
    address: SocketAddr,
    stream: TcpStream,
    message: Vec<u8>,
    sent: usize,
    is_refused: bool,
    /// Times that it connects again after its connection was closed.
    reconnects: usize,
}

impl Client {
    fn connect(address: SocketAddr, message: Vec<u8>, reconnects: usize) -> Option<Self> {
        Some(Self {
            address,
            stream: connect(address)?,
            message,
            sent: 0,
            is_refused: false,
            reconnects,
        })
    }

    /// Connects again, unless it has done so as often as it does.
    fn reconnect(&mut self) {
        let stream = self.reconnects.checked_sub(1).and_then(|left| {
            self.reconnects = left;
            connect(self.address)
        });
        self.is_refused = stream.is_none();
        if let Some(stream) = stream {
            (self.stream, self.sent) = (stream, 0);
        }
    }

    /// Sends what the connection takes at once; returns whether that was anything.
    fn send(&mut self) -> bool {
        let end = self.message.len().min(self.sent + TURN_BYTES);
        if self.is_refused || self.sent == end {
            return false;
        }
        match self.stream.write(&self.message[self.sent..end]) {
            Ok(len) => {
                self.sent += len;
                true
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.reconnect();
                true
            }
        }
    }
}

/// Connects without waiting in reads and writes from then on.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    socket
        .connect_timeout(&address.into(), CONNECT_TIMEOUT)
        .ok()?;
    socket.set_nonblocking(true).unwrap();
    Some(socket.into())
}

impl Crowd {
    /// Connects clients and has each send its message, by turns, until all is sent, refused or no longer read.
    pub(crate) fn send(
        address: SocketAddr,
        clients: usize,
        message: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        Self::send_reconnecting(address, clients, 0, message)
    }

    /// The same with clients that connect `reconnects` times again after their connection was closed.
    pub(crate) fn send_reconnecting(
        address: SocketAddr,
        clients: usize,
        reconnects: usize,
        message: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        let clients = (0..clients).filter_map(|n| Client::connect(address, message(n), reconnects));
        let mut crowd = Self {
            clients: clients.collect(),
        };
        crowd.send_all();
        crowd
    }

    fn send_all(&mut self) {
        let mut last_progress = Instant::now();
        while last_progress.elapsed() < STALL {
            let mut has_sent = false;
            for client in &mut self.clients {
                has_sent |= client.send();
            }
            if has_sent {
                last_progress = Instant::now();
            } else {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

/// The head of a request with a chunked body, and chunks of `chunk_bytes` that hold `body_bytes` in all, without the
/// last chunk.
pub(crate) fn unfinished_chunks(head: &str, body_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut message = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "a".repeat(chunk_bytes));
    for _ in 0..body_bytes / chunk_bytes {
        message.extend_from_slice(chunk.as_bytes());
    }
    message
}

/// The head of a request with a chunked body whose framing does not end: by turns the extensions of a chunk, the
/// trailers and the size of a chunk.
pub(crate) fn unfinished_framing(head: &str, n: usize) -> Vec<u8> {
    let mut message = unfinished_chunks(head, 10, 1);
    let endless = match n % 3 {
        0 => format!("1;{}", "x=y;".repeat(50_000)),
        1 => format!("0\r\n{}", "X-Trailer: a\r\n".repeat(20_000)),
        _ => "0".repeat(200_000),
    };
    message.extend(endless.into_bytes());
    message
}

/// The head of a request that lacks its last line, of `bytes` in all, with one long header.
pub(crate) fn unfinished_head(line: &str, bytes: usize) -> Vec<u8> {
    let start = format!("{line}\r\nHost: a.example\r\nX-Filler: ");
    let filler = "a".repeat(bytes.saturating_sub(start.len()));
    (start + &filler).into_bytes()
}

/// What a process holds, as the system reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProcessUsage {
    /// Most resident memory since the start, in kilobytes.
    pub(crate) peak_memory_kb: u64,
    /// Bytes that have arrived on its connections and were not read, in kilobytes.
    pub(crate) unread_kb: u64,
    /// Open descriptors.
    pub(crate) descriptors: usize,
}

impl ProcessUsage {
    /// None if the process has ended.
    pub(crate) fn of(pid: u32) -> Option<Self> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
        Some(Self {
            peak_memory_kb: line.split_whitespace().next()?.parse().ok()?,
            unread_kb: unread_bytes(pid)? / 1_000,
            descriptors: descriptors.count(),
        })
    }

    /// Memory that counts for the process, in kilobytes.
    pub(crate) fn memory_kb(&self) -> u64 {
        self.peak_memory_kb + self.unread_kb
    }
}

fn unread_bytes(pid: u32) -> Option<u64> {
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    let links = descriptors.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
    let inodes: HashSet<String> = links
        .filter_map(|link| {
            let inode = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
            Some(inode.to_owned())
        })
        .collect();
    let sockets = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).ok()?;
    let unread = sockets.lines().skip(1).filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        // Of a listening socket, this is the number of connections in its queue.
        let is_listening = *fields.get(3)? == "0A";
        if is_listening || !inodes.contains(*fields.get(9)?) {
            return None;
        }
        let (_, unread) = fields.get(4)?.split_once(':')?;
        u64::from_str_radix(unread, 16).ok()
    });
    Some(unread.sum())
}
