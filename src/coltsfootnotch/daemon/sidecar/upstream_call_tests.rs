//! Calls to upstreams that send bytes without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time::{Duration, Instant};

use coltsfootnotch_types::Incarnation;
use coltsfootnotch_wire::{AttemptId, Call, FailReason};
use googletest::prelude::*;
use tokio::sync::mpsc;

use super::{Clients, ResponsePart, UpstreamCall, cancel};

/// Deadline of the attempts that end by it.
const DEADLINE: Duration = Duration::from_secs(1);
/// Deadline of the attempts that are cancelled.
const LONG_DEADLINE: Duration = Duration::from_secs(60);
/// Time from the start of a call to its cancellation.
const CANCEL_AFTER: Duration = Duration::from_millis(300);
/// Time in which the thread and the connection of an attempt end after it, on a busy machine.
const SLACK: Duration = Duration::from_millis(1500);
/// Size in bytes and interval of what a slow upstream sends.
const SLOW_BYTES: usize = 4;
const SLOW_INTERVAL: Duration = Duration::from_millis(20);
/// Size in bytes of what a fast upstream sends in one write.
const FAST_BYTES: usize = 64 * 1024;
/// Calls of fast upstreams that run at once.
const FAST_AT_ONCE: usize = 4;

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
const BODY: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n";

/// What an upstream sends: a beginning, and what follows it without end.
struct Form {
    name: &'static str,
    start: String,
    repeated: &'static str,
}

/// Every form of an answer without end.
fn forms() -> Vec<Form> {
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
struct Upstream {
    address: SocketAddr,
    /// Gets the time at which the caller has closed a connection.
    closed: std_mpsc::Receiver<Instant>,
    stops: Arc<AtomicBool>,
}

impl Upstream {
    fn start(form: &Form, is_fast: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let stops = Arc::new(AtomicBool::new(false));
        let (tx, closed) = std_mpsc::channel();
        let (start, repeated) = (form.start.clone(), form.repeated);
        let serving_stops = Arc::clone(&stops);
        thread::spawn(move || {
            let (mut connection, _) = listener.accept().unwrap();
            let len = connection.read(&mut [0; 4096]).unwrap_or_default();
            if len > 0 && send_endlessly(&mut connection, &start, repeated, is_fast, &serving_stops)
            {
                // Nobody waits for it any more after the end of the test.
                let _received = tx.send(Instant::now());
            }
        });
        Self {
            address,
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

/// How a call ended.
#[derive(Debug)]
struct Outcome {
    last: Option<ResponsePart>,
    /// Time from the end of the attempt, by its deadline or cancellation, to that of its thread.
    thread: Option<Duration>,
    /// Time from the end of the attempt to that of its connection.
    connection: Option<Duration>,
}

impl Outcome {
    fn is_in_time(&self) -> bool {
        self.thread.is_some() && self.connection.is_some()
    }
}

/// Makes a call to an upstream that answers with the form, and cancels it if `is_cancelled`.
fn call(form: &Form, is_fast: bool, is_cancelled: bool) -> Outcome {
    let upstream = Upstream::start(form, is_fast);
    let (tx, mut parts) = mpsc::channel(32);
    let cancelled = Arc::new(AtomicBool::new(false));
    let call = UpstreamCall {
        agent: Clients::new().for_call(true),
        address: upstream.address,
        attempt: attempt(),
        call: Call {
            method: "POST".into(),
            path: "/".into(),
            content_type: None,
            idempotency_key: None,
            body: b"{}".to_vec(),
            stream: true,
        },
        deadline: if is_cancelled {
            LONG_DEADLINE
        } else {
            DEADLINE
        },
        cancelled: Arc::clone(&cancelled),
        parts: tx,
        resume_from: 0,
    };
    let started = Instant::now();
    let (ended_tx, ended) = std_mpsc::channel();
    thread::spawn(move || {
        call.run();
        ended_tx.send(Instant::now())
    });
    let receiving = thread::spawn(move || {
        let mut last = None;
        while let Some(part) = parts.blocking_recv() {
            last = Some(part);
        }
        last
    });
    let ends_at = started + if is_cancelled { CANCEL_AFTER } else { DEADLINE };
    if is_cancelled {
        thread::sleep(CANCEL_AFTER);
        cancelled.store(true, Ordering::Relaxed);
    }
    let time_after = |ended: &std_mpsc::Receiver<Instant>| {
        let left = (ends_at + SLACK).saturating_duration_since(Instant::now());
        let at = ended.recv_timeout(left).ok()?;
        Some(at.saturating_duration_since(ends_at))
    };
    let thread = time_after(&ended);
    let connection = time_after(&upstream.closed);
    drop(upstream);
    Outcome {
        last: thread.and_then(|_| receiving.join().unwrap()),
        thread,
        connection,
    }
}

fn attempt() -> AttemptId {
    AttemptId {
        entry: Incarnation(1),
        request: 1,
        attempt: 0,
    }
}

/// Makes a call to an upstream of each form, some at once.
fn call_all(is_fast: bool, is_cancelled: bool) -> Vec<(&'static str, Outcome)> {
    let forms = forms();
    let at_once = if is_fast { FAST_AT_ONCE } else { forms.len() };
    let mut outcomes = Vec::new();
    for group in forms.chunks(at_once) {
        thread::scope(|scope| {
            let calls: Vec<_> = group
                .iter()
                .map(|form| (form.name, scope.spawn(|| call(form, is_fast, is_cancelled))))
                .collect();
            outcomes.extend(
                calls
                    .into_iter()
                    .map(|(name, call)| (name, call.join().unwrap())),
            );
        });
    }
    outcomes
}

/// Guards against a call whose thread and connection outlast the deadline of its attempt.
#[googletest::test]
fn a_call_ends_by_its_deadline_whatever_the_upstream_sends() {
    for is_fast in [false, true] {
        for (name, outcome) in call_all(is_fast, false) {
            println!("deadline, fast {is_fast}, {name}: {outcome:?}");
            expect_true!(outcome.is_in_time(), "fast {is_fast}, {name}: {outcome:?}");
        }
    }
}

/// Guards against a deadline that counts as a crash of the upstream.
#[googletest::test]
fn an_answer_that_is_late_has_timed_out() {
    for form in forms()
        .iter()
        .filter(|form| ["a long body", "comments"].contains(&form.name))
    {
        let outcome = call(form, false, false);
        let timed_out = matches!(
            outcome.last,
            Some(ResponsePart::Failed(FailReason::UpstreamTimeout))
        );
        expect_true!(timed_out, "{}: {outcome:?}", form.name);
    }
}

/// Guards against a cancelled call whose thread and connection last on.
#[googletest::test]
fn a_cancelled_call_ends_soon_whatever_the_upstream_sends() {
    for is_fast in [false, true] {
        for (name, outcome) in call_all(is_fast, true) {
            println!("cancelled, fast {is_fast}, {name}: {outcome:?}");
            expect_true!(outcome.is_in_time(), "fast {is_fast}, {name}: {outcome:?}");
        }
    }
}

/// Guards against threads that wait without end for the answer to a request to cancel an attempt.
#[googletest::test]
fn a_request_to_cancel_ends_whatever_the_upstream_sends() {
    let forms = forms();
    thread::scope(|scope| {
        for form in &forms {
            scope.spawn(move || {
                let upstream = Upstream::start(form, false);
                let address = upstream.address;
                let (tx, ended) = std_mpsc::channel();
                thread::spawn(move || {
                    cancel(&Clients::new().for_call(true), address, attempt());
                    tx.send(())
                });
                let ended = ended.recv_timeout(super::CANCEL_TIMEOUT + SLACK);
                assert!(ended.is_ok(), "{}", form.name);
            });
        }
    });
}
