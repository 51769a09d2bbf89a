//! Upstreams that send bytes without end, for tests of the calls of a sidecar.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Size in bytes and interval of what a slow upstream sends.
const SLOW_BYTES: usize = 4;
const SLOW_INTERVAL: Duration = Duration::from_millis(20);
/// Size in bytes of what a fast upstream sends in one write.
const FAST_BYTES: usize = 64 * 1024;

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
const BODY: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n";

/// What an upstream sends: a beginning, and what follows it without end.
pub(super) struct Form {
    pub(super) name: &'static str,
    start: String,
    repeated: &'static str,
}

/// Every form of an answer without end.
pub(super) fn forms() -> Vec<Form> {
    let form = |name, start: &[&str], repeated| Form {
        name,
        start: start.concat(),
        repeated,
    };
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    vec![
        form("nothing", &[], ""),
        form("no HTTP", &[], "x"),
        form("blank lines", &[], "\r\n"),
        form("a status line", &["HTTP/1.1 200 "], "O"),
        form("header lines", &["HTTP/1.1 200 OK\r\n"], "x-a: b\r\n"),
        form("a header value", &["HTTP/1.1 200 OK\r\nx-a: "], "b"),
        form("interim heads", &[], "HTTP/1.1 103 Early Hints\r\n\r\n"),
        form("100 heads", &[], "HTTP/1.1 100 Continue\r\n\r\n"),
        form(
            "a longer body than stated",
            &[BODY, "content-length: 5\r\n\r\n"],
            "x",
        ),
        form(
            "a long body",
            &[BODY, "content-length: 99999999999\r\n\r\n"],
            "x",
        ),
        form("a body without length", &[BODY, "\r\n"], "x"),
        form("chunks", &[BODY, chunked], "1\r\nx\r\n"),
        form("a chunk", &[BODY, chunked, "fffffffff\r\n"], "x"),
        form("zeros of a chunk size", &[BODY, chunked], "0"),
        form("a chunk extension", &[BODY, chunked, "1;"], "a"),
        form("trailers", &[BODY, chunked, "0\r\n"], "x-a: b\r\n"),
        form("a trailer", &[BODY, chunked, "0\r\nx-a: "], "b"),
        form("events", &[STREAM, "\r\n"], "data: {\"choices\":[{}]}\n\n"),
        form("comments", &[STREAM, "\r\n"], ":\n\n"),
        form("comment lines", &[STREAM, "\r\n"], ":\n"),
        form("empty events", &[STREAM, "\r\n"], "\n"),
        form("an event", &[STREAM, "\r\ndata: "], "x"),
        form(
            "events after the last",
            &[STREAM, "\r\ndata: [DONE]\n\n"],
            "data: x\n\n",
        ),
        form("chunked events", &[STREAM, chunked], "3\r\n:\n\n\r\n"),
        form(
            "trailers of a stream",
            &[STREAM, chunked, "0\r\n"],
            "x-a: b\r\n",
        ),
    ]
}

/// An upstream that answers each connection with one form, until it is dropped.
pub(super) struct Upstream {
    pub(super) address: SocketAddr,
    /// Gets the time at which the caller has closed a connection.
    /// A request has come.
    pub(super) asked: mpsc::Receiver<()>,
    pub(super) closed: mpsc::Receiver<Instant>,
    stops: Arc<AtomicBool>,
}

impl Upstream {
    pub(super) fn start(form: &Form, is_fast: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let stops = Arc::new(AtomicBool::new(false));
        let (tx, closed) = mpsc::channel();
        let (asked_tx, asked) = mpsc::channel();
        let (start, repeated) = (form.start.clone(), form.repeated);
        let serving_stops = Arc::clone(&stops);
        thread::spawn(move || {
            let (mut connection, _) = listener.accept().unwrap();
            let len = connection.read(&mut [0; 4096]).unwrap_or_default();
            // Few tests wait for it.
            let _received = asked_tx.send(());
            if len > 0 && send_endlessly(&mut connection, &start, repeated, is_fast, &serving_stops)
            {
                // Nobody waits for it any more after the end of the test.
                let _received = tx.send(Instant::now());
            }
        });
        Self {
            address,
            asked,
            closed,
            stops,
        }
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::Relaxed);
    }
}

/// Sends until the caller closes the connection, and returns whether it did before `stops` was set.
fn send_endlessly(
    connection: &mut TcpStream,
    start: &str,
    repeated: &str,
    is_fast: bool,
    stops: &AtomicBool,
) -> bool {
    connection.set_write_timeout(Some(SLOW_INTERVAL)).unwrap();
    connection.set_read_timeout(Some(SLOW_INTERVAL)).unwrap();
    let mut is_sent = connection.write_all(start.as_bytes()).is_ok();
    let block = repeated.repeat(FAST_BYTES / repeated.len().max(1));
    let mut rest = block.as_bytes();
    while is_sent && !stops.load(Ordering::Relaxed) {
        if rest.is_empty() {
            rest = block.as_bytes();
        }
        let len = if is_fast {
            rest.len()
        } else {
            rest.len().min(SLOW_BYTES)
        };
        match connection.write(&rest[..len]) {
            Ok(len) => rest = &rest[len..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => is_sent = false,
        }
        if !is_fast || block.is_empty() {
            // The end of the caller's bytes tells of an end that no write shows yet.
            is_sent = is_sent && !matches!(connection.read(&mut [0; 64]), Ok(0));
        }
    }
    !stops.load(Ordering::Relaxed)
}
