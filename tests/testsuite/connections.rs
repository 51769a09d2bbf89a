//! Shutdown of an HTTP server with slow clients.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootnotch::util::connections::Connections;
use coltsfootnotch::util::http_server::{ServerLimits, full, serve_and_close};
use googletest::prelude::*;
use hyper::StatusCode;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// More than the socket buffers of a connection hold.
const RESPONSE_BYTES: usize = 64 << 20;
const LIMITS: ServerLimits = ServerLimits {
    connections: 8,
    header_bytes: 8192,
    read_timeout: Duration::from_secs(30),
    long_head_bytes: 1 << 20,
    write_timeout: Duration::from_secs(30),
};

fn wait_for(connections: &Connections, count: usize) {
    let deadline = Instant::now() + Duration::from_secs(30);
    while connections.count() != count {
        assert!(
            Instant::now() < deadline,
            "timed out with {} connections instead of {count}",
            connections.count()
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn start(runtime: &Runtime) -> (SocketAddr, Arc<Connections>) {
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"));
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::<Connections>::default();
    let handler = |_, _| async { full(StatusCode::OK, "text/plain", vec![b'x'; RESPONSE_BYTES]) };
    runtime.spawn(serve_and_close(
        listener,
        LIMITS,
        || LIMITS.read_timeout,
        Arc::clone(&connections),
        handler,
    ));
    (address, connections)
}

/// On shutdown an idle connection closes at once, while one whose client has yet to read the
/// response counts until the response was received in full.
#[gtest]
fn a_connection_counts_until_its_response_is_received() {
    let runtime = Runtime::new().unwrap();
    let (address, connections) = start(&runtime);
    let mut idle = TcpStream::connect(address).unwrap();
    let mut slow = TcpStream::connect(address).unwrap();
    slow.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    wait_for(&connections, 2);
    let mut first = [0; 1024];
    slow.read_exact(&mut first).unwrap();

    connections.close();
    wait_for(&connections, 1);
    expect_that!(idle.read(&mut first).unwrap(), eq(0));
    // Time within which a connection would close that is dropped too early.
    std::thread::sleep(Duration::from_millis(300));
    expect_that!(connections.count(), eq(1));

    let mut rest = Vec::new();
    slow.read_to_end(&mut rest).unwrap();
    expect_that!(rest.len(), ge(RESPONSE_BYTES - first.len()));
    wait_for(&connections, 0);
}
