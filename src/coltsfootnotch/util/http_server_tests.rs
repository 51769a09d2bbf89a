//! Requests that arrive while their server closes its connections.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use googletest::prelude::*;
use hyper::body::{Body, Frame};
use hyper::header::{CONNECTION, HeaderValue};
use tokio::sync::Notify;

use super::*;

const LIMITS: ServerLimits = ServerLimits {
    connections: 8,
    header_bytes: 16 * 1024,
    read_timeout: Duration::from_secs(5),
    long_head_bytes: 1 << 20,
    write_timeout: Duration::from_secs(30),
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
    /// Ends the streams.
    release: Arc<Notify>,
}

/// A body of one part, which comes once it is released.
struct Released(Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>);

impl Body for Released {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BodyAborted>>> {
        let Some(end) = &mut self.0 else {
            return Poll::Ready(None);
        };
        ready!(end.as_mut().poll(cx));
        self.0 = None;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(BODY.as_bytes())))))
    }
}

/// Responds to `/stream` with a body that is complete once it is released, to `/leave` with a response that says that
/// it is the last one, to `/read` once the body of the request is read, and never to `/wait` nor to `/sent`, which may
/// have run, nor to `/panic`, where the handler panics. Other bodies are left unread.
async fn respond(req: Request<RequestBody>, release: Arc<Notify>) -> AnyResponse {
    let path = req.uri().path().to_owned();
    if path == "/read" {
        return match read_body(req.into_body(), 1 << 20, WAIT).await {
            Ok(body) => full(
                StatusCode::OK,
                TEXT,
                format!("{} bytes, {BODY}", body.len()),
            ),
            Err(status) => full(status, TEXT, BODY),
        };
    }
    if path == "/wait" || path == "/sent" || path == "/panic" {
        req.body().progress().set_may_have_run(path != "/wait");
        assert!(path != "/panic", "a handler that fails");
        return std::future::pending().await;
    }
    let mut response = match path.as_str() {
        "/stream" => {
            let end = Box::pin(async move { release.notified().await });
            return Response::new(Released(Some(end)).boxed());
        }
        _ => full(StatusCode::OK, TEXT, BODY),
    };
    if path == "/leave" {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::<Connections>::default();
        let release = Arc::<Notify>::default();
        tokio::spawn(serve_and_close(
            listener,
            LIMITS,
            || LIMITS.read_timeout,
            Arc::clone(&connections),
            {
                let release = Arc::clone(&release);
                move |req, _| respond(req, Arc::clone(&release))
            },
        ));
        // The server's first turn.
        sleep(DELIVERY).await;
        Self {
            address,
            connections,
            release,
        }
    }

    /// Takes all connections with requests that are being handled.
    async fn connect_busy(&self) -> Vec<Caller> {
        let mut callers: Vec<Caller> = (0..LIMITS.connections).map(|_| self.connect()).collect();
        for caller in &mut callers {
            caller.send(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
        }
        sleep(DELIVERY * 4).await;
        callers
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

    /// Reads to the end of the connection; an error is appended to what was received before.
    async fn read_to_end(&mut self) -> String {
        let started = Instant::now();
        let mut text = String::new();
        let mut buf = [0; 1024];
        while started.elapsed() < WAIT {
            match self.0.read(&mut buf) {
                Ok(0) => return text,
                Ok(len) => text.push_str(&String::from_utf8_lossy(&buf[..len])),
                Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(DELIVERY).await,
                Err(e) => return format!("{text} {e}"),
            }
        }
        format!("{text} and no end")
    }

    /// Reads to the end of a response or of the connection.
    async fn read(&mut self) -> String {
        self.read_until(BODY).await
    }

    async fn read_until(&mut self, end: &str) -> String {
        let started = Instant::now();
        let mut received = Vec::new();
        let mut buf = [0; 1024];
        while started.elapsed() < WAIT && !received.ends_with(end.as_bytes()) {
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

const STREAM: &[u8] = b"GET /stream HTTP/1.1\r\nhost: a\r\n\r\n";
const LEAVE: &[u8] = b"GET /leave HTTP/1.1\r\nhost: a\r\n\r\n";

const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

/// Time that a stream takes beyond all that is waited for while a connection without one is closed.
const STREAM_TIME: Duration = Duration::from_millis(1_300);

/// The statuses of the responses in what a caller has received.
fn statuses(received: &str) -> Vec<&str> {
    let lines = received.split("HTTP/1.1 ").skip(1);
    lines.map(|line| &line[..3]).collect()
}

/// Guards against a stop that leaves a request unanswered which its caller has sent behind a stream that began before.
#[gtest]
#[tokio::test]
async fn a_request_behind_a_stream_that_began_before_the_stop_is_answered() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(STREAM);
    sleep(DELIVERY).await;
    caller.send(REQUEST);
    sleep(DELIVERY).await;
    server.connections.close();
    sleep(STREAM_TIME).await;
    server.release.notify_one();
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"200"), eq(&"200")]);
    expect_that!(received.as_str(), is_last_response());
}

/// Guards against a stop that closes a connection right after a stream, as its caller reuses it.
#[gtest]
#[tokio::test]
async fn a_request_after_a_stream_that_began_before_the_stop_is_answered() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(STREAM);
    sleep(DELIVERY).await;
    server.connections.close();
    sleep(CLOSE_LINGER * 2).await;
    server.release.notify_one();
    let stream = caller.read_until(LAST_CHUNK).await;
    expect_that!(stream, ends_with(LAST_CHUNK));
    caller.send(REQUEST);
    expect_that!(caller.read().await.as_str(), is_last_response());
}

/// Guards against a request that is read behind the last response, and gets neither an answer nor a refusal.
#[gtest]
#[tokio::test]
async fn requests_behind_a_last_response_are_refused_as_not_run() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(&[LEAVE, REQUEST, REQUEST].concat());
    let received = caller.read_to_end().await;
    expect_that!(
        statuses(&received),
        elements_are![eq(&"200"), eq(&"503"), eq(&"503")]
    );
    expect_that!(received, contains_substring("retry-after: 0"));
    expect_that!(received, ends_with("the request did not run\n"));
}

/// Guards against the same for a request that arrives while the last response of a stopping server is in progress.
#[gtest]
#[tokio::test]
async fn a_request_that_arrives_during_the_last_response_is_refused_as_not_run() {
    let server = Server::start().await;
    let mut caller = server.connect();
    sleep(DELIVERY).await;
    server.connections.close();
    caller.send(STREAM);
    sleep(CLOSE_LINGER * 2).await;
    let post = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\na body";
    caller.send(&[REQUEST, post].concat());
    sleep(DELIVERY).await;
    server.release.notify_one();
    let received = caller.read_to_end().await;
    expect_that!(
        statuses(&received),
        elements_are![eq(&"200"), eq(&"503"), eq(&"503")]
    );
}

/// Guards against a body that is taken for requests: its handler has left it unread.
#[gtest]
#[tokio::test]
async fn an_unread_body_is_not_taken_for_requests() {
    let server = Server::start().await;
    let mut caller = server.connect();
    let body = REQUEST.repeat(1_000);
    let head = format!(
        "POST /leave HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    caller.send(&[head.as_bytes(), &body].concat());
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"200")]);
    expect_that!(received, ends_with(BODY));
}

/// Guards against a request that is cut apart behind such a stream: its body is read and answered as well.
#[gtest]
#[tokio::test]
async fn a_request_with_a_body_behind_a_stream_is_answered_at_a_stop() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(STREAM);
    sleep(DELIVERY).await;
    let post = b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\na body";
    caller.send(post);
    server.connections.close();
    sleep(STREAM_TIME).await;
    server.release.notify_one();
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"200"), eq(&"200")]);
    expect_that!(received, ends_with("6 bytes, a whole response"));
}

/// Guards against requests that get no response as the process ends, though they are sure not to have run.
#[gtest]
#[tokio::test]
async fn a_request_that_is_cut_off_before_it_was_sent_on_is_refused_as_not_run() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
    sleep(DELIVERY).await;
    server.connections.close();
    sleep(CLOSE_LINGER * 2).await;
    server.connections.abort();
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"503")]);
    expect_that!(received, contains_substring("retry-after: 0"));
    expect_that!(received, ends_with("the request did not run\n"));
    expect_that!(server.connections.pending(), eq(0));
}

/// Guards against requests that get no response as the process ends, or one that promises that they did not run.
#[gtest]
#[tokio::test]
async fn a_request_that_is_cut_off_after_it_was_sent_on_may_have_run() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(b"GET /sent HTTP/1.1\r\nhost: a\r\n\r\n");
    sleep(DELIVERY).await;
    server.connections.abort();
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"502")]);
    expect_that!(received, contains_substring("connection: close"));
    expect_that!(received, ends_with("the request may have run\n"));
}

/// Guards against a stream that is cut off as the process ends, and whose connection is closed in order.
#[gtest]
#[tokio::test]
async fn a_stream_that_is_cut_off_is_reset() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(STREAM);
    sleep(DELIVERY).await;
    server.connections.close();
    sleep(CLOSE_LINGER * 2).await;
    server.connections.abort();
    let received = caller.read_to_end().await;
    expect_that!(received, contains_substring("Connection reset by peer"));
    expect_that!(server.connections.pending(), eq(0));
}

/// Guards against a request behind a stream that is answered after the stop has begun, and gets no response as the
/// process ends.
#[gtest]
#[tokio::test]
async fn a_request_behind_a_stream_is_cut_off_as_well() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(STREAM);
    sleep(DELIVERY).await;
    caller.send(b"GET /sent HTTP/1.1\r\nhost: a\r\n\r\n");
    sleep(DELIVERY).await;
    server.connections.close();
    sleep(STREAM_TIME).await;
    server.release.notify_one();
    sleep(DELIVERY * 10).await;
    server.connections.abort();
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"200"), eq(&"502")]);
}

/// Guards against requests behind a last response that are lost since they exceed what is read at once.
#[gtest]
#[tokio::test]
async fn many_requests_behind_a_last_response_are_each_refused() {
    const COUNT: usize = 550;
    let server = Server::start().await;
    let mut caller = server.connect();
    let body = vec![b'x'; 60_000];
    let head = format!(
        "POST /read HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    caller.send(&[head.as_bytes(), &body, &REQUEST.repeat(COUNT)].concat());
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received).len(), eq(1 + COUNT));
}

/// Starts a server whose idle connections end after what `read_timeout` returns, and has one answer a request.
async fn serve_idle(read_timeout: impl Fn() -> Duration + Send + Sync + 'static) -> Caller {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let handler = |req, _| respond(req, Arc::default());
    tokio::spawn(serve_and_close(
        listener,
        LIMITS,
        read_timeout,
        Arc::default(),
        handler,
    ));
    stream.set_nonblocking(true).unwrap();
    let mut caller = Caller(stream);
    caller.send(REQUEST);
    expect_that!(caller.read().await, ends_with(BODY));
    caller
}

/// Idle time after which the connections of a test end.
const IDLE: Duration = Duration::from_millis(200);

/// Guards against an idle connection that is closed away from a request which has arrived as its time is over.
#[gtest]
#[tokio::test]
async fn a_request_that_arrives_as_its_connection_has_been_idle_for_too_long_is_answered() {
    let mut caller = serve_idle(|| IDLE).await;
    let mut sender = Caller(caller.0.try_clone().unwrap());
    let sending = tokio::spawn(async move {
        sleep(IDLE - DELIVERY * 4).await;
        sender.send(REQUEST);
    });
    sleep(IDLE - DELIVERY * 8).await;
    // The runtime stands still until after the time is over, and sends the request in the turn in which it ends the
    // connection.
    std::thread::sleep(DELIVERY * 16);
    sending.await.unwrap();
    expect_that!(caller.read().await, ends_with(BODY));
}

/// Guards against kept connections that are closed after the idle time of an earlier configuration, while their
/// callers go by the longer one in force.
#[gtest]
#[tokio::test]
async fn a_connection_may_be_idle_for_as_long_as_the_configuration_in_force_allows() {
    let is_longer = Arc::<AtomicBool>::default();
    let changed = Arc::clone(&is_longer);
    let idle = move || {
        IDLE * if changed.load(Ordering::Relaxed) {
            10
        } else {
            1
        }
    };
    let mut caller = serve_idle(idle).await;
    is_longer.store(true, Ordering::Relaxed);
    sleep(IDLE * 2).await;
    caller.send(REQUEST);
    expect_that!(caller.read().await, ends_with(BODY));
}

/// Guards against a count of connections closed unread that includes refusals of requests whose body was not read.
#[gtest]
#[tokio::test]
async fn the_rest_of_a_body_is_not_counted_as_unread_at_a_stop() {
    let server = Server::start().await;
    let mut caller = server.connect();
    let body = vec![b'x'; 200_000];
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    caller.send(&[head.as_bytes(), &body].concat());
    server.connections.close();
    expect_that!(caller.read().await.as_str(), is_last_response());
    drop(caller);
    sleep(CLOSE_LINGER).await;
    expect_that!(server.connections.pending(), eq(0));
    expect_that!(server.connections.closed_unread(), eq(0));
}

/// Guards against connections beyond the limit that are closed with their request unread.
#[gtest]
#[tokio::test]
async fn a_connection_beyond_the_limit_is_refused_as_not_run() {
    let server = Server::start().await;
    let kept = server.connect_busy().await;
    let mut caller = server.connect();
    let body = vec![b'x'; 40_000];
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len() * 2
    );
    caller.send(&[head.as_bytes(), &body].concat());
    sleep(DELIVERY * 4).await;
    caller.send(&body);
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"503")]);
    expect_that!(received, contains_substring("retry-after: 0"));
    expect_that!(received, ends_with("the request did not run.\r\n"));
    drop(kept);
}

/// Guards against the same for more connections than are waited for at a time.
#[gtest]
#[tokio::test]
async fn a_request_beyond_those_waited_for_is_refused_as_it_has_arrived() {
    let server = Server::start().await;
    let busy = server.connect_busy().await;
    let held: Vec<Caller> = (0..MAX_WAITED_FOR).map(|_| server.connect()).collect();
    sleep(DELIVERY * 4).await;
    let mut caller = server.connect();
    caller.send(REQUEST);
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"503")]);
    expect_that!(received, ends_with("the request did not run.\r\n"));
    drop((busy, held));
}

/// Guards against connections on which nothing is sent, and which keep all others out.
#[gtest]
#[tokio::test]
async fn the_connection_that_waits_for_the_longest_is_closed_for_a_new_one() {
    let server = Server::start().await;
    let mut busy = server.connect();
    busy.send(b"GET /stream HTTP/1.1\r\nhost: a\r\n\r\n");
    sleep(DELIVERY).await;
    let mut silent: Vec<Caller> = (1..LIMITS.connections).map(|_| server.connect()).collect();
    sleep(DELIVERY * 4).await;
    let mut caller = server.connect();
    caller.send(REQUEST);
    expect_that!(caller.read().await, starts_with("HTTP/1.1 200"));
    expect_that!(silent[0].read_to_end().await, eq(""));
    // The others keep theirs, as does a response in progress.
    silent[1].send(REQUEST);
    expect_that!(silent[1].read().await, starts_with("HTTP/1.1 200"));
    server.release.notify_one();
    expect_that!(busy.read().await, starts_with("HTTP/1.1 200"));
}

/// Guards against a request that gets no response since its handler has panicked.
#[gtest]
#[tokio::test]
async fn a_request_whose_handler_panics_is_answered() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(b"GET /panic HTTP/1.1\r\nhost: a\r\n\r\n");
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"502")]);
    expect_that!(received, contains_substring("connection: close"));
    expect_that!(received, ends_with("the request may have run\n"));
}

/// Guards against a response that its caller can't read: the system resets a connection that is closed while the rest
/// of a body is on its way.
#[gtest]
#[tokio::test]
async fn a_response_is_not_lost_with_the_rest_of_a_body_that_arrives_after_it() {
    let server = Server::start().await;
    let mut caller = server.connect();
    let part = vec![b'x'; 20_000];
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        part.len() * 4
    );
    caller.send(&[head.as_bytes(), &part].concat());
    for _ in 0..3 {
        sleep(CLOSE_LINGER * 2).await;
        caller.send(&part);
    }
    let received = caller.read_to_end().await;
    expect_that!(received, starts_with("HTTP/1.1 200 OK\r\n"));
    expect_that!(received.as_str(), is_last_response());
}

/// Guards against the same for a body longer than a caller's socket holds.
#[gtest]
#[tokio::test]
async fn a_response_is_not_lost_with_the_rest_of_a_long_body() {
    const LEN: usize = 4 << 20;
    let server = Server::start().await;
    let stream = TcpStream::connect(server.address).unwrap();
    let sending = tokio::task::spawn_blocking(move || {
        let mut stream = stream;
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {LEN}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let sent = stream.write_all(&vec![b'x'; LEN]);
        let mut received = String::new();
        let read = stream.read_to_string(&mut received);
        (sent.is_ok(), read.is_ok(), received)
    });
    let (is_sent, is_read, received) = sending.await.unwrap();
    expect_that!((is_sent, is_read), eq((true, true)));
    expect_that!(received.as_str(), is_last_response());
}

/// Guards against a request that gets no response since the body of the one before was left unread.
#[gtest]
#[tokio::test]
async fn a_request_behind_a_body_that_is_left_unread_is_answered() {
    let server = Server::start().await;
    let body = [b'x'; 100_000];
    for (framing, end) in [
        ("content-length: 100000\r\n\r\n", ""),
        (
            "transfer-encoding: chunked\r\n\r\n186a0\r\n",
            "\r\n0\r\n\r\n",
        ),
    ] {
        let mut caller = server.connect();
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\n{framing}");
        caller.send(&[head.as_bytes(), &body, end.as_bytes(), LEAVE].concat());
        let received = caller.read_to_end().await;
        expect_that!(statuses(&received), elements_are![eq(&"200"), eq(&"200")]);
    }
}

/// Guards against a kept connection that is closed while its caller goes on with it: the body arrives after the headers,
/// and the response comes first.
#[gtest]
#[tokio::test]
async fn a_connection_can_be_used_after_a_short_body_that_is_left_unread() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n");
    sleep(DELIVERY).await;
    caller.send(&[b'x'; 2000]);
    expect_that!(caller.read().await, ends_with(BODY));
    caller.send(REQUEST);
    expect_that!(caller.read().await, ends_with(BODY));
}

/// Guards against bytes behind a body with an invalid chunk that are taken for requests: nothing tells where it ends.
#[gtest]
#[tokio::test]
async fn bytes_behind_a_broken_body_are_not_taken_for_requests() {
    let server = Server::start().await;
    let head = b"POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n-";
    for is_closing in [false, true] {
        let mut caller = server.connect();
        sleep(DELIVERY).await;
        caller.send(&[head, LEAVE].concat());
        if is_closing {
            server.connections.close();
        }
        let received = caller.read_to_end().await;
        expect_that!(statuses(&received), elements_are![eq(&"400")]);
        expect_that!(received, contains_substring("connection: close"));
    }
}

/// Guards against a connection that stays open for good after a refusal: its caller sends the body only once it is asked
/// to, and nothing is read of the connection while something keeps the body.
#[gtest]
#[tokio::test]
async fn a_connection_ends_after_a_body_that_was_not_asked_for() {
    let server = Server::start().await;
    let mut caller = server.connect();
    caller.send(b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 6\r\n\r\n");
    let received = caller.read_to_end().await;
    expect_that!(statuses(&received), elements_are![eq(&"200")]);
    expect_that!(received.as_str(), is_last_response());
    drop(caller);
    sleep(DELIVERY * 4).await;
    expect_that!(server.connections.count(), eq(0));
}
