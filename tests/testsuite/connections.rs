//! The end of a server whose callers are slow.

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

/// More than the system's buffers take for one connection.
const ANSWER_BYTES: usize = 64 << 20;
const LIMITS: ServerLimits = ServerLimits {
    connections: 8,
    header_bytes: 8192,
    read_timeout: Duration::from_secs(30),
};

fn wait_for(connections: &Connections, count: usize) {
    let until = Instant::now() + Duration::from_secs(30);
    while connections.count() != count {
        assert!(
            Instant::now() < until,
            "{} connections",
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
    let answer = |_, _| async { full(StatusCode::OK, "text/plain", vec![b'x'; ANSWER_BYTES]) };
    runtime.spawn(serve_and_close(
        listener,
        LIMITS,
        || LIMITS.read_timeout,
        Arc::clone(&connections),
        answer,
    ));
    (address, connections)
}

/// A caller has asked and reads nothing yet; another keeps an idle connection. The server is told to
/// close: the idle connection ends at once, the other counts until its caller has the whole answer.
#[gtest]
fn a_connection_counts_until_its_answer_is_taken() {
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
    // Time in which a connection that is given up too early would be gone.
    std::thread::sleep(Duration::from_millis(300));
    expect_that!(connections.count(), eq(1));

    let mut rest = Vec::new();
    slow.read_to_end(&mut rest).unwrap();
    expect_that!(rest.len(), ge(ANSWER_BYTES - first.len()));
    wait_for(&connections, 0);
}
