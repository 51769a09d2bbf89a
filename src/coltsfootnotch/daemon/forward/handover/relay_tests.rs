//! Connections that are handed over to a neighbour.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hyper::{Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use super::super::handed_over::HandedOver;
use super::{CLOSE_LINGER, HEADER_BYTES, PARTIAL_REQUEST_TIMEOUT, RelayEnd, connect, relay};
use crate::util::connection_io::EndsWithConnection;
use crate::util::http_server::{AnyResponse, ConnectionLimits, full, read_body, serve_connection};
use crate::util::request_body::RequestBody;

const LIMITS: ConnectionLimits = ConnectionLimits {
    header_bytes: 16 * 1024,
    read_timeout: Duration::from_secs(5),
};
/// Time within which what is expected happens.
const WAIT: Duration = Duration::from_secs(5);

/// A neighbour whose responses wait until they are released.
#[derive(Default)]
struct Neighbour {
    release: Notify,
    started: Notify,
    /// Requests whose handler ended without a response.
    cancelled: AtomicUsize,
}

/// Counts a handler that is dropped before it ends.
struct Running<'a>(&'a Neighbour, bool);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0
            .cancelled
            .fetch_add(usize::from(!self.1), Ordering::Relaxed);
    }
}

async fn respond(neighbour: Arc<Neighbour>, req: Request<RequestBody>) -> AnyResponse {
    let mut running = Running(&neighbour, false);
    let waits = req.uri().path() == "/wait";
    let ends_with_connection = req.uri().path() == "/until-close";
    let body = read_body(req.into_body(), 1 << 20, WAIT).await.unwrap();
    neighbour.started.notify_one();
    if waits {
        neighbour.release.notified().await;
    }
    running.1 = true;
    let mut response = full(
        StatusCode::OK,
        "text/plain",
        format!("{} bytes", body.len()),
    );
    if ends_with_connection {
        response.extensions_mut().insert(EndsWithConnection);
    }
    response
}

/// Starts a neighbour and an entry that relays one connection to it; the sender makes the entry stop.
async fn start(neighbour: &Arc<Neighbour>) -> (TcpStream, oneshot::Sender<()>) {
    start_relay(neighbour, false).await
}

/// The same; `is_single` tells whether the connection is relayed for one request.
async fn start_relay(
    neighbour: &Arc<Neighbour>,
    is_single: bool,
) -> (TcpStream, oneshot::Sender<()>) {
    let (caller, stop, _abort) = start_relay_to_abort(neighbour, is_single).await;
    (caller, stop)
}

/// The same, with a sender that ends the relay since the entry's process does.
async fn start_relay_to_abort(
    neighbour: &Arc<Neighbour>,
    is_single: bool,
) -> (TcpStream, oneshot::Sender<()>, oneshot::Sender<()>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = Arc::clone(neighbour);
    tokio::spawn(async move {
        let (stream, peer) = listener.accept().await.unwrap();
        let stream = HandedOver::new(stream);
        let requested = stream.close_requested();
        let handler = move |req, _peer| respond(Arc::clone(&served), req);
        let closing = requested.notified();
        serve_connection(stream, peer, || LIMITS, closing, pending, &handler).await;
    });
    let entry = TcpListener::bind(any).await.unwrap();
    let entry_address = entry.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel();
    let (abort_sender, abort) = oneshot::channel();
    tokio::spawn(async move {
        let (caller, _) = entry.accept().await.unwrap();
        let neighbour = connect(address).await.unwrap();
        let closing = async {
            wait_for(stopped).await;
            None
        };
        let reserve = |_| true;
        relay(
            caller,
            neighbour,
            closing,
            wait_for(abort),
            is_single,
            reserve,
        )
        .await
    });
    let caller = TcpStream::connect(entry_address).await.unwrap();
    (caller, stop, abort_sender)
}

/// Completes with the signal, and never if its sender is dropped.
async fn wait_for(signal: oneshot::Receiver<()>) {
    if signal.await.is_err() {
        pending::<()>().await;
    }
}

async fn send(caller: &mut TcpStream, path: &str, body: usize) {
    let head = format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {body}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![b'x'; body]).await.unwrap();
}

/// Reads until the text ends with `end`, or to the end of the connection.
async fn read_until(caller: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut chunk = [0; 1024];
    while !text.ends_with(end) {
        let read = timeout(WAIT, caller.read(&mut chunk)).await;
        match read.expect("it answers in time") {
            Ok(0) | Err(_) => break,
            Ok(len) => text.push_str(std::str::from_utf8(&chunk[..len]).unwrap()),
        }
    }
    text
}

/// Guards against bytes that are lost, added or changed between frames and reads.
#[gtest]
#[tokio::test]
async fn requests_of_any_size_and_their_responses_pass_unchanged() {
    let neighbour = Arc::<Neighbour>::default();
    let (mut caller, _stop) = start(&neighbour).await;
    for body in [0, 1, 5_000, 8_189, 8_192, 70_000, 300_000] {
        send(&mut caller, "/now", body).await;
        let end = format!("\r\n\r\n{body} bytes");
        let text = read_until(&mut caller, &end).await;
        expect_that!(text, starts_with("HTTP/1.1 200 OK"));
        expect_that!(text, ends_with(end));
    }
}

/// Guards against a planned stop that cuts off a request in progress at a neighbour.
#[gtest]
#[tokio::test]
async fn an_entry_that_stops_lets_the_response_in_progress_end() {
    let neighbour = Arc::<Neighbour>::default();
    let (mut caller, stop) = start(&neighbour).await;
    send(&mut caller, "/wait", 10).await;
    neighbour.started.notified().await;
    stop.send(()).unwrap();
    sleep(Duration::from_millis(100)).await;
    neighbour.release.notify_one();
    let text = read_until(&mut caller, "to the end").await;
    expect_that!(text, contains_substring("connection: close"));
    expect_that!(text, ends_with("10 bytes"));
}

/// Guards against kept connections that keep an entry from stopping.
#[gtest]
#[tokio::test]
async fn an_entry_that_stops_closes_idle_connections() {
    let neighbour = Arc::<Neighbour>::default();
    let (mut caller, stop) = start(&neighbour).await;
    send(&mut caller, "/now", 10).await;
    read_until(&mut caller, "10 bytes").await;
    stop.send(()).unwrap();
    expect_that!(read_until(&mut caller, "to the end").await, eq(""));
}

/// Guards against idle relayed connections that use up the sockets of a crowded entry.
#[gtest]
#[tokio::test]
async fn a_connection_that_is_relayed_for_one_request_is_closed_after_its_response() {
    let neighbour = Arc::<Neighbour>::default();
    let (mut caller, _stop) = start_relay(&neighbour, true).await;
    send(&mut caller, "/now", 10).await;
    let text = read_until(&mut caller, "to the end").await;
    expect_that!(text, ends_with("10 bytes"));
}

/// Guards against work at an upstream for a caller that has disconnected from the entry.
#[gtest]
#[tokio::test]
async fn a_request_is_cancelled_when_its_caller_disconnects() {
    let neighbour = Arc::<Neighbour>::default();
    let (mut caller, _stop) = start(&neighbour).await;
    send(&mut caller, "/wait", 10).await;
    neighbour.started.notified().await;
    drop(caller);
    let is_cancelled = async {
        while neighbour.cancelled.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    expect_that!(timeout(WAIT, is_cancelled).await, ok(anything()));
}

/// Guards against requests that are run for callers who have left. On a crowded entry a caller disconnects before its
/// request is read; relayed in several reads, it reached the neighbour long before the end of the connection did.
#[gtest]
#[tokio::test]
async fn nothing_is_relayed_for_a_caller_that_has_disconnected() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let entry = TcpListener::bind(any).await.unwrap();
    let neighbour = TcpListener::bind(any).await.unwrap();
    let mut caller = TcpStream::connect(entry.local_addr().unwrap())
        .await
        .unwrap();
    send(&mut caller, "/now", 30_000).await;
    drop(caller);
    let (caller, _) = entry.accept().await.unwrap();
    let stream = connect(neighbour.local_addr().unwrap()).await.unwrap();
    let relaying = relay(caller, stream, pending(), pending(), false, |_| true);
    let (mut received, _) = neighbour.accept().await.unwrap();
    let mut bytes = Vec::new();
    let (relayed, read) = tokio::join!(relaying, received.read_to_end(&mut bytes));
    expect_that!(relayed, ok(anything()));
    expect_that!(read, ok(eq(&0)));
}

/// Guards against a host that ends for want of memory: heads that do not end on relayed connections.
#[gtest]
#[tokio::test]
async fn a_head_that_there_is_no_memory_for_ends_its_relay() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let entry = TcpListener::bind(any).await.unwrap();
    let neighbour = TcpListener::bind(any).await.unwrap();
    let mut caller = TcpStream::connect(entry.local_addr().unwrap())
        .await
        .unwrap();
    let head = format!("GET / HTTP/1.1\r\nx: {}", "a".repeat(15_000));
    caller.write_all(head.as_bytes()).await.unwrap();
    let (accepted, _) = entry.accept().await.unwrap();
    let stream = connect(neighbour.local_addr().unwrap()).await.unwrap();
    let mut most = 0;
    let reserve = |bytes| {
        most = bytes;
        bytes < 10_000
    };
    let relayed = relay(accepted, stream, pending(), pending(), false, reserve).await;
    expect_that!(relayed, ok(eq(&RelayEnd::Closed)));
    expect_that!(most, ge(15_000));
}

/// A relayed connection: the test is its caller and its neighbour.
struct Relayed {
    caller: TcpStream,
    neighbour: TcpStream,
    entry: AbortHandle,
}

impl Relayed {
    async fn start() -> Self {
        Self::start_to_stop(pending()).await
    }

    /// The same, of an entry that stops once `closing` completes.
    async fn start_to_stop(closing: impl Future<Output = ()> + Send + 'static) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.unwrap();
        let entry = TcpListener::bind(any).await.unwrap();
        let caller = TcpStream::connect(entry.local_addr().unwrap())
            .await
            .unwrap();
        let (accepted, _) = entry.accept().await.unwrap();
        let stream = connect(listener.local_addr().unwrap()).await.unwrap();
        let (neighbour, _) = listener.accept().await.unwrap();
        let closing = async {
            closing.await;
            None
        };
        let relaying = tokio::spawn(relay(accepted, stream, closing, pending(), false, |_| true));
        Self {
            caller,
            neighbour,
            entry: relaying.abort_handle(),
        }
    }

    /// Sends bytes of the caller; returns once the neighbour has them.
    async fn request(&mut self, bytes: &str) {
        self.caller.write_all(bytes.as_bytes()).await.unwrap();
        let mut received = vec![0; HEADER_BYTES + bytes.len()];
        let read = timeout(WAIT, self.neighbour.read_exact(&mut received)).await;
        expect_that!(read, ok(ok(anything())));
    }

    /// Sends bytes of the neighbour; returns once the caller has them.
    async fn respond(&mut self, bytes: &str) {
        self.neighbour.write_all(bytes.as_bytes()).await.unwrap();
        let mut received = vec![0; bytes.len()];
        let read = timeout(WAIT, self.caller.read_exact(&mut received)).await;
        expect_that!(read, ok(ok(anything())));
        expect_that!(std::str::from_utf8(&received), ok(eq(bytes)));
    }

    /// What the caller reads once the neighbour is gone.
    async fn lose_neighbour(mut self) -> String {
        drop(self.neighbour);
        read_until(&mut self.caller, "to the end").await
    }
}

const REQUEST: &str = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
/// The head of a request whose body of 5,000 bytes follows.
const UPLOAD: &str = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";

/// Guards against callers who get neither a response nor a failure: the neighbour that serves them is killed, which
/// they saw as a closed connection of an entry that runs.
#[gtest]
#[tokio::test]
async fn a_caller_whose_neighbour_is_gone_gets_a_failure() {
    let mut relayed = Relayed::start().await;
    relayed.request(REQUEST).await;
    let text = relayed.lose_neighbour().await;
    expect_that!(text, starts_with("HTTP/1.1 502 Bad Gateway"));
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let length = format!("content-length: {}", body.len());
    expect_that!(head, ends_with(length));
}

/// Guards against a failure in the middle of a response.
#[gtest]
#[tokio::test]
async fn a_response_that_has_begun_is_not_followed_by_a_failure() {
    let begun = [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "H",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    ];
    for begun in begun {
        let mut relayed = Relayed::start().await;
        relayed.request(REQUEST).await;
        relayed.respond(begun).await;
        expect_that!(relayed.lose_neighbour().await, eq(""), "{begun:?}");
    }
}

/// Guards against a failure in the middle of a response to a caller that still sends its body or its next request: the
/// caller took it for a part of the response, which could then look complete.
#[gtest]
#[tokio::test]
async fn a_caller_that_sends_after_a_response_has_begun_gets_no_failure_in_it() {
    let begun = [
        "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n",
        "HTTP/1.1 200 OK\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\n",
    ];
    for begun in begun {
        for (request, rest) in [(UPLOAD, &"x".repeat(100)), (REQUEST, &REQUEST.to_owned())] {
            let mut relayed = Relayed::start().await;
            relayed.request(request).await;
            relayed.respond(begun).await;
            relayed.request(rest).await;
            expect_that!(relayed.lose_neighbour().await, eq(""), "{begun:?}");
        }
    }
}

/// Guards against a failure that no request waits for: the caller took it for the response to its next request.
#[gtest]
#[tokio::test]
async fn a_caller_that_sends_the_rest_of_an_answered_request_gets_no_failure() {
    let mut relayed = Relayed::start().await;
    relayed.request(UPLOAD).await;
    relayed.respond(RESPONSE).await;
    relayed.request(&"x".repeat(100)).await;
    expect_that!(relayed.lose_neighbour().await, eq(""));
}

/// Guards against callers of kept connections who get neither a response nor a failure.
#[gtest]
#[tokio::test]
async fn a_caller_whose_neighbour_is_gone_between_responses_gets_a_failure() {
    let answered = [
        (REQUEST, RESPONSE),
        (
            "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n",
        ),
        (REQUEST, "HTTP/1.1 204 No Content\r\n\r\n"),
        (
            REQUEST,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ),
    ];
    for (request, response) in answered {
        let mut relayed = Relayed::start().await;
        relayed.request(request).await;
        relayed.respond(response).await;
        relayed.request(UPLOAD).await;
        let text = relayed.lose_neighbour().await;
        expect_that!(
            text,
            starts_with("HTTP/1.1 502 Bad Gateway"),
            "{response:?}"
        );
    }
}

/// Guards against an informational response that is taken for the response itself.
#[gtest]
#[tokio::test]
async fn a_caller_whose_neighbour_is_gone_after_an_informational_response_gets_a_failure() {
    let mut relayed = Relayed::start().await;
    relayed.request(UPLOAD).await;
    relayed.respond("HTTP/1.1 100 Continue\r\n\r\n").await;
    relayed.request(&"x".repeat(100)).await;
    let text = relayed.lose_neighbour().await;
    expect_that!(text, starts_with("HTTP/1.1 502 Bad Gateway"));
}

/// Guards against a response that ends early and looks complete, since it ends with its connection.
#[gtest]
#[tokio::test]
async fn a_response_without_a_length_that_breaks_is_not_closed_in_order() {
    let mut relayed = Relayed::start().await;
    relayed.request(REQUEST).await;
    relayed.respond("HTTP/1.1 200 OK\r\n\r\nfirst").await;
    relayed.neighbour.set_zero_linger().unwrap();
    drop(relayed.neighbour);
    let mut bytes = Vec::new();
    let read = timeout(WAIT, relayed.caller.read_to_end(&mut bytes)).await;
    expect_that!(read, ok(err(anything())));
}

/// Guards against a response that looks complete since the entry that relays it was killed: its system closes its
/// connections.
#[gtest]
#[tokio::test]
async fn a_response_without_a_length_is_reset_when_its_entry_ends() {
    for begun in ["HTTP/1.1 200 OK\r\n\r\nfirst", "not a response\r\n\r\n"] {
        let mut relayed = Relayed::start().await;
        relayed.request(REQUEST).await;
        relayed.respond(begun).await;
        relayed.entry.abort();
        let mut bytes = Vec::new();
        let read = timeout(WAIT, relayed.caller.read_to_end(&mut bytes)).await;
        expect_that!(read, ok(err(anything())), "{begun:?}");
    }
}

/// Guards against a complete response that looks broken off.
#[gtest]
#[tokio::test]
async fn a_response_without_a_length_that_ends_in_order_is_closed_in_order() {
    let mut relayed = Relayed::start().await;
    relayed.request(REQUEST).await;
    relayed.respond("HTTP/1.1 200 OK\r\n\r\nfirst").await;
    drop(relayed.neighbour);
    let mut bytes = Vec::new();
    let read = timeout(WAIT, relayed.caller.read_to_end(&mut bytes)).await;
    expect_that!(read, ok(ok(eq(&0))));
}

/// Guards against a response that ends with its connection and gets a length at the neighbour that serves it.
#[gtest]
#[tokio::test]
async fn a_response_that_ends_with_its_connection_passes_a_neighbour_as_it_is() {
    let neighbour = Arc::<Neighbour>::default();
    let (mut caller, _stop) = start(&neighbour).await;
    send(&mut caller, "/until-close", 10).await;
    let mut text = String::new();
    let read = timeout(WAIT, caller.read_to_string(&mut text)).await;
    expect_that!(read, ok(ok(anything())));
    expect_that!(text, starts_with("HTTP/1.1 200 OK\r\n"));
    expect_that!(text, ends_with("\r\n\r\n10 bytes"));
    expect_that!(text, not(contains_substring("content-length")));
    expect_that!(text, not(contains_substring("transfer-encoding")));
}

/// Guards against callers who get no response, or a failure that may have run, to a request that has not: it arrived as
/// the idle connection of its neighbour ended, and was passed on to nobody.
#[gtest]
#[tokio::test]
async fn a_request_that_crosses_the_end_of_an_idle_connection_is_refused_as_not_run() {
    for is_broken in [false, true] {
        for _ in 0..20 {
            let mut relayed = Relayed::start().await;
            relayed.request(REQUEST).await;
            relayed.respond(RESPONSE).await;
            // Both are there when the relay runs again.
            if is_broken {
                relayed.neighbour.set_zero_linger().unwrap();
            }
            drop(relayed.neighbour);
            let sent = relayed.caller.try_write(REQUEST.as_bytes());
            expect_that!(sent, ok(eq(&REQUEST.len())));
            let text = read_until(&mut relayed.caller, "to the end").await;
            expect_that!(text.as_str(), is_not_run());
        }
    }
}

/// Guards against callers that can't tell whether a request ran which was passed on as the neighbour closed the
/// connection, since their entry stops: an order can't be sent again then.
#[gtest]
#[tokio::test]
async fn a_request_that_crosses_the_end_of_a_stopping_entry_is_refused_as_not_run() {
    let (stop, stopped) = oneshot::channel();
    let mut relayed = Relayed::start_to_stop(wait_for(stopped)).await;
    relayed.request(REQUEST).await;
    relayed.respond(RESPONSE).await;
    stop.send(()).unwrap();
    let mut close = [0; HEADER_BYTES];
    let read = timeout(WAIT, relayed.neighbour.read_exact(&mut close)).await;
    expect_that!(read, ok(ok(anything())));
    sleep(CLOSE_LINGER * 9 / 10).await;
    let sent = relayed.caller.try_write(REQUEST.as_bytes());
    expect_that!(sent, ok(eq(&REQUEST.len())));
    sleep(CLOSE_LINGER / 10).await;
    expect_that!(relayed.neighbour.shutdown().await, ok(anything()));
    let text = read_until(&mut relayed.caller, "to the end").await;
    expect_that!(text.as_str(), is_not_run());
}

/// Guards against a refusal that is lost, since the connection is reset with the rest of the request unread.
#[gtest]
#[tokio::test]
async fn a_request_whose_body_crosses_the_end_of_an_idle_connection_is_read_and_refused() {
    let mut relayed = Relayed::start().await;
    relayed.request(REQUEST).await;
    relayed.respond(RESPONSE).await;
    drop(relayed.neighbour);
    let sent = relayed.caller.try_write(UPLOAD.as_bytes());
    expect_that!(sent, ok(eq(&UPLOAD.len())));
    sleep(CLOSE_LINGER * 2).await;
    let sent = relayed.caller.write_all(&[b'x'; 5_000]).await;
    expect_that!(sent, ok(anything()));
    let text = read_until(&mut relayed.caller, "to the end").await;
    expect_that!(text.as_str(), is_not_run());
}

/// Guards against callers that keep a relay without a neighbour open by sending a byte now and then.
#[gtest]
#[tokio::test]
async fn a_request_that_arrives_slowly_without_a_neighbour_is_refused_in_time() {
    let mut relayed = Relayed::start().await;
    relayed.request(REQUEST).await;
    relayed.respond(RESPONSE).await;
    drop(relayed.neighbour);
    relayed.caller.write_all(UPLOAD.as_bytes()).await.unwrap();
    let started = Instant::now();
    while started.elapsed() < WAIT && relayed.caller.write_all(b"x").await.is_ok() {
        sleep(PARTIAL_REQUEST_TIMEOUT / 4).await;
    }
    expect_that!(started.elapsed(), lt(PARTIAL_REQUEST_TIMEOUT * 3));
}

fn is_not_run() -> impl for<'a> Matcher<&'a str> {
    all!(
        starts_with("HTTP/1.1 503 Service Unavailable\r\n"),
        contains_substring("connection: close"),
        contains_substring("retry-after: 0")
    )
}

/// Guards against idle connections of callers that stay open without the neighbour that served them.
#[gtest]
#[tokio::test]
async fn a_caller_that_sends_nothing_is_disconnected_with_its_neighbour() {
    let mut relayed = Relayed::start().await;
    relayed.request(REQUEST).await;
    relayed.respond(RESPONSE).await;
    expect_that!(relayed.lose_neighbour().await, eq(""));
}

/// Guards against responses that are lost: a neighbour responds to a request before it has read the body, and closes.
#[gtest]
#[tokio::test]
async fn a_response_of_a_neighbour_that_reads_no_more_is_delivered() {
    let response =
        "HTTP/1.1 413 Content Too Large\r\nconnection: close\r\ncontent-length: 4\r\n\r\nlong";
    for _ in 0..20 {
        let mut relayed = Relayed::start().await;
        relayed.request(UPLOAD).await;
        // Both are there when the relay runs again.
        let body = [b'x'; 5_000];
        let sent = relayed.neighbour.try_write(response.as_bytes());
        expect_that!(sent, ok(eq(&response.len())));
        expect_that!(relayed.caller.try_write(&body), ok(eq(&body.len())));
        relayed.neighbour.set_zero_linger().unwrap();
        let text = relayed.lose_neighbour().await;
        expect_that!(text, eq(response));
    }
}

/// Guards against callers of a relayed connection that get no response as the process of the relay ends.
#[gtest]
#[tokio::test]
async fn a_relayed_request_that_is_cut_off_may_have_run() {
    let neighbour = Arc::<Neighbour>::default();
    let (mut caller, _stop, abort) = start_relay_to_abort(&neighbour, false).await;
    send(&mut caller, "/wait", 6).await;
    neighbour.started.notified().await;
    abort.send(()).unwrap();
    let text = read_until(&mut caller, "the request may have run").await;
    expect_that!(text, starts_with("HTTP/1.1 502 Bad Gateway"));
    expect_that!(text, ends_with("the request may have run"));
}

/// Guards against requests that a neighbour passes on though the entry that relays them stops before they end.
#[tokio::test]
async fn a_neighbour_learns_when_the_entry_that_relays_a_connection_stops() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let entry = TcpListener::bind(any).await.unwrap();
    let _caller = TcpStream::connect(entry.local_addr().unwrap())
        .await
        .unwrap();
    let (accepted, _) = entry.accept().await.unwrap();
    let stream = connect(listener.local_addr().unwrap()).await.unwrap();
    let (neighbour, _) = listener.accept().await.unwrap();
    let time_left = Duration::from_secs(5);
    let closing = async move { Some(time_left) };
    let _relaying = tokio::spawn(relay(accepted, stream, closing, pending(), false, |_| true));

    let mut handed_over = HandedOver::new(neighbour);
    let mut notice = handed_over.stop_notice();
    let mut buf = [0; 1];
    let reading = timeout(CLOSE_LINGER, handed_over.read(&mut buf));
    assert_that!(
        reading.await,
        err(anything()),
        "the caller has sent nothing"
    );
    let stop = notice.borrow_and_update().expect("the entry stops");
    let told = stop.time_left(Instant::now());
    assert_that!(told, le(time_left));
    assert_that!(told, gt(time_left / 2));
}
