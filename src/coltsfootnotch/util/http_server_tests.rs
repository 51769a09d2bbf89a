//! Requests that arrive while their server closes its connections.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use googletest::prelude::*;

use super::*;

const LIMITS: ServerLimits = ServerLimits {
    connections: 8,
    header_bytes: 16 * 1024,
    read_timeout: Duration::from_secs(5),
};
/// Time within which what is expected happens.
const WAIT: Duration = Duration::from_secs(5);
/// Time that the system takes to pass bytes on between two sockets of this host.
const DELIVERY: Duration = Duration::from_millis(5);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const BODY: &str = "a whole response";

/// A server in the runtime of the test. It takes no turn while the test doesn't wait, as on a host that
/// is late: what a caller sends then is in the socket, unseen by the runtime.
struct Server {
    address: SocketAddr,
    connections: Arc<Connections>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::<Connections>::default();
        tokio::spawn(serve_and_close(
            listener,
            LIMITS,
            || LIMITS.read_timeout,
            Arc::clone(&connections),
            |_, _| async { full(StatusCode::OK, TEXT, BODY) },
        ));
        // The server's first turn.
        sleep(DELIVERY).await;
        Self {
            address,
            connections,
        }
    }

    /// Connects a caller, with no turn of the server.
    fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_nonblocking(true).unwrap();
        Caller(stream)
    }
}

struct Caller(TcpStream);

impl Caller {
    /// Sends bytes and lets them arrive, with no turn of the server. A caller whose connection is closed
    /// learns of it when it reads.
    fn send(&mut self, bytes: &[u8]) {
        let _sent = self.0.write_all(bytes);
        std::thread::sleep(DELIVERY);
    }

    /// Reads to the end of a response or of the connection.
    async fn read(&mut self) -> String {
        let started = Instant::now();
        let mut received = Vec::new();
        let mut buf = [0; 1024];
        while started.elapsed() < WAIT && !received.ends_with(BODY.as_bytes()) {
            match self.0.read(&mut buf) {
                Ok(0) => break,
                Ok(len) => received.extend_from_slice(&buf[..len]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(DELIVERY).await,
                Err(e) => return format!("{e}"),
            }
        }
        String::from_utf8_lossy(&received).into_owned()
    }
}

fn is_last_response() -> impl for<'a> Matcher<&'a str> {
    all!(contains_substring("connection: close"), ends_with(BODY))
}

/// Guards against a stop that closes a kept connection with the caller's next request unread in its socket.
#[gtest]
#[tokio::test]
async fn a_request_that_has_arrived_on_a_kept_connection_is_answered_at_a_stop() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(REQUEST);
    expect_that!(caller.read().await, ends_with(BODY));
    caller.send(REQUEST);
    server.connections.close();
    expect_that!(caller.read().await.as_str(), is_last_response());
}

/// Guards against a stop that closes a new connection with its first request unread in its socket.
#[gtest]
#[tokio::test]
async fn a_request_that_has_arrived_on_a_new_connection_is_answered_at_a_stop() {
    let server = Server::start().await;
    let mut caller = server.connect();
    sleep(DELIVERY).await;
    expect_that!(server.connections.count(), eq(1));
    caller.send(REQUEST);
    server.connections.close();
    expect_that!(caller.read().await.as_str(), is_last_response());
}

/// Guards against a stop that resets connections which wait in the queue of the listener.
#[gtest]
#[tokio::test]
async fn a_request_on_a_connection_that_is_not_accepted_yet_is_answered_at_a_stop() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(REQUEST);
    expect_that!(server.connections.count(), eq(0));
    server.connections.close();
    expect_that!(server.connections.pending(), gt(0));
    expect_that!(caller.read().await.as_str(), is_last_response());
}

/// Guards against a stop that closes a kept connection in the middle of the caller's next request.
#[gtest]
#[tokio::test]
async fn a_request_of_which_a_part_has_arrived_is_answered_at_a_stop() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(REQUEST);
    expect_that!(caller.read().await, ends_with(BODY));
    let (begin, rest) = REQUEST.split_at(10);
    caller.send(begin);
    server.connections.close();
    sleep(CLOSE_LINGER + DELIVERY * 4).await;
    caller.send(rest);
    expect_that!(caller.read().await.as_str(), is_last_response());
}

/// Guards against a close that goes by what the runtime knew when its timer fired: another task of that turn has taken
/// time, in which the request has arrived.
#[gtest]
#[tokio::test]
async fn a_request_that_arrives_while_the_server_is_late_to_close_is_answered() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(REQUEST);
    expect_that!(caller.read().await, ends_with(BODY));
    let mut sender = Caller(caller.0.try_clone().unwrap());
    server.connections.close();
    // Due in the same turn as the server's timer, and before it.
    let slow = tokio::spawn(async move {
        sleep(CLOSE_LINGER - DELIVERY).await;
        sender.send(REQUEST);
    });
    sleep(CLOSE_LINGER - DELIVERY * 4).await;
    std::thread::sleep(DELIVERY * 8);
    slow.await.unwrap();
    expect_that!(caller.read().await.as_str(), is_last_response());
}

/// Guards against idle connections that keep a host from stopping.
#[gtest]
#[tokio::test]
async fn idle_connections_and_the_listener_are_closed_at_a_stop() {
    let server = Server::start().await;
    let mut kept = server.connect();
    kept.send(REQUEST);
    expect_that!(kept.read().await, ends_with(BODY));
    let mut unused = server.connect();
    sleep(DELIVERY).await;
    server.connections.close();
    expect_that!(kept.read().await, eq(""));
    expect_that!(unused.read().await, eq(""));
    expect_that!(server.connections.pending(), eq(0));
    expect_that!(TcpStream::connect(server.address), err(anything()));
}
