//! Idle connections that their upstreams end.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use coltsfootnotch_forward::held::HostLimits;
use coltsfootnotch_forward::load::SentRequest;
use coltsfootnotch_forward::place::Prompt;
use coltsfootnotch_forward::streams::StreamOrigin;
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::Request;
use tokio::time::sleep;

use super::*;

/// Time that the system takes to pass bytes on between two sockets of this host.
const DELIVERY: Duration = Duration::from_millis(5);

/// An upstream that the test plays by hand; the runtime of the entry takes no turn meanwhile.
struct Upstream {
    listener: TcpListener,
    ticket: Ticket,
}

impl Upstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let ticket = Ticket {
            upstream: "i-1".into(),
            born_ms: 1,
            origin: StreamOrigin::new("desk", ""),
            address: listener.local_addr().unwrap(),
            copy_from: None,
            sent: SentRequest {
                uncached_tokens: 0,
                held_tokens: 0,
                expected_ms: 1.0,
                at: Duration::ZERO,
            },
            content: 0,
            prompt: Arc::new(Prompt::default()),
            is_stream: false,
            stream: None,
            is_repeated: false,
            connections: 8,
        };
        Self { listener, ticket }
    }

    /// Carries one request over a new connection of the pool and puts the connection back; returns the
    /// upstream's end of it.
    async fn use_connection(&self, pool: &Pool) -> TcpStream {
        let mut connection = pool.get(&self.ticket).await.unwrap();
        let (mut stream, _) = self.listener.accept().unwrap();
        let request = Request::get("/").header("host", "a");
        let request = request.body(BufferedBody::from(vec![])).unwrap();
        let sending = connection.sender.send_request(request);
        let responding = async {
            sleep(DELIVERY).await;
            let len = stream.read(&mut [0; 1024]).unwrap();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                .unwrap();
            len
        };
        let (response, len) = tokio::join!(sending, responding);
        expect_that!(len, gt(0));
        response.unwrap().into_body().collect().await.unwrap();
        sleep(DELIVERY).await;
        pool.put(&self.ticket, connection, None);
        stream
    }
}

fn pool() -> Pool {
    let limits = HostLimits {
        memory_bytes: 64 << 20,
        sockets: 100,
    };
    Pool::new(HeldResources::new(limits))
}

/// Guards against a connection for each request.
#[gtest]
#[tokio::test]
async fn an_idle_connection_is_reused() {
    let (upstream, pool) = (Upstream::start(), pool());
    let _stream = upstream.use_connection(&pool).await;
    let connection = pool.get(&upstream.ticket).await;
    expect_that!(connection.map(|c| c.reused), ok(eq(&true)));
}

/// Guards against requests that are written to a connection which the upstream has closed: the entry's runtime has not
/// seen that yet, and the request, which can't run, counts as one that may have.
#[gtest]
#[tokio::test]
async fn a_connection_that_its_upstream_has_closed_is_not_reused() {
    let (upstream, pool) = (Upstream::start(), pool());
    let stream = upstream.use_connection(&pool).await;
    drop(stream);
    std::thread::sleep(DELIVERY);
    let connection = pool.get(&upstream.ticket).await;
    expect_that!(connection.map(|c| c.reused), ok(eq(&false)));
}

/// Guards against a second response, which would be taken for that of the next request.
#[gtest]
#[tokio::test]
async fn a_connection_on_which_more_has_arrived_is_not_reused() {
    let (upstream, pool) = (Upstream::start(), pool());
    let mut stream = upstream.use_connection(&pool).await;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        .unwrap();
    std::thread::sleep(DELIVERY);
    let connection = pool.get(&upstream.ticket).await;
    expect_that!(connection.map(|c| c.reused), ok(eq(&false)));
}
