//! Callers of relayed connections that leave while one of both ends doesn't read.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::{connect, relay};

/// Time within which a relay ends after its caller has left.
const LEFT: Duration = Duration::from_millis(500);
/// Time after which a connection takes no more bytes if its peer doesn't read.
const FULL: Duration = Duration::from_millis(200);

/// Size of the buffers of sockets, in bytes.
const BUFFER: usize = 16 * 1024;
/// Size of the buffers of the relay's socket to its caller, in bytes. More than the others together, so that the
/// caller's close arrives while bytes before it are unread.
const CALLER_BUFFER: usize = 512 * 1024;
/// Bytes that a caller sends to a neighbour that doesn't read: more than those buffers hold, less than this one.
const SENT_BYTES: usize = 300 * 1024;

fn set_buffers(socket: &SockRef<'_>, bytes: usize) {
    socket.set_recv_buffer_size(bytes).unwrap();
    socket.set_send_buffer_size(bytes).unwrap();
}

/// A relayed connection: the test is its caller and its neighbour.
struct Relayed {
    caller: TcpStream,
    neighbour: TcpStream,
    relaying: JoinHandle<()>,
}

impl Relayed {
    async fn start() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.unwrap();
        let entry = TcpListener::bind(any).await.unwrap();
        let address = entry.local_addr().unwrap();
        set_buffers(&SockRef::from(&entry), CALLER_BUFFER);
        set_buffers(&SockRef::from(&listener), BUFFER);
        let caller = TcpStream::connect(address).await.unwrap();
        set_buffers(&SockRef::from(&caller), BUFFER);
        let (accepted, _) = entry.accept().await.unwrap();
        let stream = connect(listener.local_addr().unwrap()).await.unwrap();
        set_buffers(&SockRef::from(&stream), BUFFER);
        let (neighbour, _) = listener.accept().await.unwrap();
        let relaying = tokio::spawn(async move {
            let _end = relay(accepted, stream, pending(), pending(), false, |_| true).await;
        });
        Self {
            caller,
            neighbour,
            relaying,
        }
    }

    /// Whether the relay, and with it the connection to the neighbour, ends in time after the caller has left.
    async fn ends_after(self, departure: Departure) -> bool {
        let _kept = depart(self.caller, departure);
        timeout(LEFT, self.relaying).await.is_ok()
    }
}

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Departure {
    Close,
    Reset,
    /// Closes both directions and keeps the socket.
    Shutdown,
}

const DEPARTURES: [Departure; 3] = [Departure::Close, Departure::Reset, Departure::Shutdown];

fn depart(caller: TcpStream, departure: Departure) -> Option<TcpStream> {
    let socket = SockRef::from(&caller);
    match departure {
        Departure::Close => return None,
        Departure::Reset => socket.set_linger(Some(Duration::ZERO)).unwrap(),
        Departure::Shutdown => socket.shutdown(std::net::Shutdown::Both).unwrap(),
    }
    matches!(departure, Departure::Shutdown).then_some(caller)
}

/// Sends bytes until no more are taken.
async fn fill(stream: &mut TcpStream) {
    let bytes = [b'a'; 64 * 1024];
    while timeout(FULL, stream.write_all(&bytes)).await.is_ok() {}
}

/// Guards against work at a neighbour that doesn't learn that its caller has left, since the relay waits for the
/// neighbour to read.
#[gtest]
#[tokio::test]
async fn a_caller_that_leaves_while_its_neighbour_does_not_read_is_noticed() {
    for departure in DEPARTURES {
        let mut relayed = Relayed::start().await;
        let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000000\r\n\r\n";
        relayed.caller.write_all(head).await.unwrap();
        relayed.caller.write_all(&[b'a'; SENT_BYTES]).await.unwrap();
        sleep(FULL).await;
        expect_true!(relayed.ends_after(departure).await, "{departure:?}");
    }
}

/// Guards against work at a neighbour that doesn't learn that its caller has left, since the relay waits for the
/// caller to read.
#[gtest]
#[tokio::test]
async fn a_caller_that_leaves_without_reading_is_noticed() {
    for departure in DEPARTURES {
        let mut relayed = Relayed::start().await;
        let head = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        relayed.caller.write_all(head).await.unwrap();
        let mut neighbour = relayed.neighbour;
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n";
        neighbour.write_all(head).await.unwrap();
        fill(&mut neighbour).await;
        relayed.neighbour = neighbour;
        expect_true!(relayed.ends_after(departure).await, "{departure:?}");
    }
}
