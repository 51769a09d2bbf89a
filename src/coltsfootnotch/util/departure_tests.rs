//! Callers that leave while their request is handled.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::super::connections::Connections;
use super::super::http_server::{
    AnyResponse, BodyAborted, ServerLimits, TEXT, full, read_body, serve_and_close,
};
use super::super::request_body::RequestBody;

const LIMITS: ServerLimits = ServerLimits {
    connections: 8,
    header_bytes: 16 * 1024,
    read_timeout: Duration::from_secs(5),
    long_head_bytes: 1 << 20,
    write_timeout: Duration::from_secs(30),
};
/// Time within which the work for a caller that has left ends.
const LEFT: Duration = Duration::from_millis(500);
/// Time within which a request that was sent is handled.
const DELIVERY: Duration = Duration::from_millis(50);

const WAIT: &str = "GET /wait HTTP/1.1\r\nhost: a\r\n\r\n";
const UNREAD: &str = "POST /unread HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\na body";
const LONG: &str = "GET /long HTTP/1.1\r\nhost: a\r\n\r\n";
const STREAM: &str = "GET /stream HTTP/1.1\r\nhost: a\r\n\r\n";

/// Requests that are handled, and those whose handling was begun.
#[derive(Clone, Default)]
struct Work {
    active: Arc<AtomicUsize>,
    begun: Arc<AtomicUsize>,
}

/// Counts a request until its handler, or the body of its response, is dropped.
struct Active(Work);

impl Work {
    fn begin(&self) -> Active {
        self.active.fetch_add(1, Ordering::Relaxed);
        self.begun.fetch_add(1, Ordering::Relaxed);
        Active(self.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Length of each part of a body, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// A body of some parts without an end.
struct Endless {
    parts: usize,
    _active: Active,
}

impl Body for Endless {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BodyAborted>>> {
        let Some(left) = self.parts.checked_sub(1) else {
            return Poll::Pending;
        };
        self.parts = left;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(
            &[b'a'; PART_BYTES],
        )))))
    }
}

/// Responds to `/now`; never completes the body of a response to `/stream` and `/long`, nor responds to others. The part
/// of `/long` that comes is more than connections buffer. Leaves the body of `/unread` unread.
async fn respond(req: Request<RequestBody>, work: Work) -> AnyResponse {
    let active = work.begin();
    let path = req.uri().path().to_owned();
    if path == "/now" {
        return full(StatusCode::OK, TEXT, "a response");
    }
    let body = req.into_body();
    if path == "/unread" {
        let _body = body;
        return std::future::pending().await;
    }
    read_body(body, 1 << 20, LEFT).await.unwrap();
    let parts = match path.as_str() {
        "/stream" => 1,
        "/long" => 1_000,
        _ => return std::future::pending().await,
    };
    let body = Endless {
        parts,
        _active: active,
    };
    Response::new(body.boxed())
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

/// Serves a caller that sends `sent` in one piece, and `later` once its request is handled; returns the number of
/// requests that are still handled [`LEFT`] after it has left, and that of those begun meanwhile. With `closes`, the
/// server is told to close its connections before the caller leaves.
async fn work_left(sent: &str, later: &str, departure: Departure, closes: bool) -> (usize, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (work, connections) = (Work::default(), Arc::<Connections>::default());
    let server = tokio::spawn(serve_and_close(
        listener,
        LIMITS,
        || LIMITS.read_timeout,
        Arc::clone(&connections),
        {
            let work = work.clone();
            move |req, _| respond(req, work.clone())
        },
    ));
    let mut caller = TcpStream::connect(address).unwrap();
    caller.write_all(sent.as_bytes()).unwrap();
    sleep(DELIVERY).await;
    caller.write_all(later.as_bytes()).unwrap();
    sleep(DELIVERY).await;
    if closes {
        connections.close();
        sleep(DELIVERY).await;
    }
    let begun = work.begun.load(Ordering::Relaxed);
    assert_ne!(
        work.active.load(Ordering::Relaxed),
        0,
        "no request is handled"
    );
    let kept = match departure {
        Departure::Close => None,
        Departure::Reset => {
            let socket = socket2::SockRef::from(&caller);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
        Departure::Shutdown => {
            caller.shutdown(Shutdown::Both).unwrap();
            Some(caller.try_clone().unwrap())
        }
    };
    drop(caller);
    let is_over = async {
        while work.active.load(Ordering::Relaxed) > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let _is_over = timeout(LEFT, is_over).await;
    drop(kept);
    server.abort();
    let begun = work.begun.load(Ordering::Relaxed) - begun;
    (work.active.load(Ordering::Relaxed), begun)
}

/// Checks that nothing is done for the caller of each of `requests` once it has left.
async fn expect_no_work(requests: &[(&str, &str)], closes: bool) {
    for departure in DEPARTURES {
        for (sent, later) in requests {
            let left = work_left(sent, later, departure, closes).await;
            expect_that!(
                left,
                eq((0, 0)),
                "{departure:?} after {sent:?}, then {later:?}"
            );
        }
    }
}

/// Guards against work that goes on for callers that have left, at any stage of their request.
#[gtest]
#[tokio::test]
async fn a_request_ends_with_its_caller() {
    let old = "GET /wait HTTP/1.0\r\n\r\n";
    let last = "GET /wait HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    expect_no_work(&[(WAIT, ""), (STREAM, ""), (old, ""), (last, "")], false).await;
}

/// Guards against work for callers that have sent more than the request that is handled: the HTTP library reads no
/// more then, and doesn't notice that they leave.
#[gtest]
#[tokio::test]
async fn a_request_with_bytes_behind_it_ends_with_its_caller() {
    let requests = [
        (&*[WAIT, WAIT].concat(), ""),
        (WAIT, WAIT),
        (WAIT, "\r\n"),
        (STREAM, WAIT),
        (&*[STREAM, "GET /now"].concat(), ""),
    ];
    expect_no_work(&requests, false).await;
}

/// Guards against work for callers whose body is not read, as while a handler waits for something else.
#[gtest]
#[tokio::test]
async fn a_request_whose_body_is_unread_ends_with_its_caller() {
    let head = &UNREAD[..UNREAD.len() - 6];
    expect_no_work(&[(UNREAD, ""), (head, ""), (head, "a bo")], false).await;
}

/// Guards against work for callers that leave a server which stops.
#[gtest]
#[tokio::test]
async fn a_request_ends_with_its_caller_at_a_stop() {
    let requests = [(WAIT, ""), (STREAM, ""), (WAIT, WAIT), (STREAM, WAIT)];
    expect_no_work(&requests, true).await;
}

/// Guards against responses that go on for callers that have left without reading them.
#[gtest]
#[tokio::test]
async fn a_response_that_is_not_read_ends_with_its_caller() {
    expect_no_work(&[(LONG, ""), (LONG, WAIT)], false).await;
}
