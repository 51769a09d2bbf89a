//! Calls to upstreams that send bytes without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
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
use crate::daemon::sidecar::endless_upstream::{Form, Upstream, forms};

/// Deadline of the attempts that end by it.
const DEADLINE: Duration = Duration::from_secs(1);
/// A deadline shorter than the time that a connection may take.
const SHORT_DEADLINE: Duration = Duration::from_millis(100);
/// Deadline of the attempts that are cancelled.
const LONG_DEADLINE: Duration = Duration::from_secs(60);
/// Time from the start of a call to its cancellation.
const CANCEL_AFTER: Duration = Duration::from_millis(300);
/// Time in which the thread and the connection of an attempt end after it, on a busy machine.
const SLACK: Duration = Duration::from_millis(1500);
/// Calls of fast upstreams that run at once.
const FAST_AT_ONCE: usize = 4;
/// Calls to a sound upstream beside others.
const SOUND_CALLS: usize = 16;

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

fn call_to(
    address: SocketAddr,
    clients: &Clients,
    deadline: Duration,
    parts: mpsc::Sender<ResponsePart>,
) -> UpstreamCall {
    UpstreamCall {
        agent: clients.for_call(true),
        address,
        attempt: attempt(),
        call: Call {
            method: "POST".into(),
            path: "/".into(),
            content_type: None,
            idempotency_key: None,
            body: b"{}".to_vec(),
            stream: true,
        },
        deadline,
        cancelled: Arc::new(AtomicBool::new(false)),
        parts,
        resume_from: 0,
    }
}

/// Makes a call to an upstream that answers with the form, and cancels it if `is_cancelled`.
fn call(form: &Form, is_fast: bool, is_cancelled: bool) -> Outcome {
    let upstream = Upstream::start(form, is_fast);
    let (tx, mut parts) = mpsc::channel(32);
    let deadline = if is_cancelled {
        LONG_DEADLINE
    } else {
        DEADLINE
    };
    let call = call_to(upstream.address, &Clients::new(), deadline, tx);
    let cancelled = Arc::clone(&call.cancelled);
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
    let mut ends_at = started + DEADLINE;
    if is_cancelled {
        // One that was not sent yet opens no connection whose end could be seen.
        upstream.asked.recv_timeout(SLACK).unwrap();
        thread::sleep(CANCEL_AFTER);
        ends_at = Instant::now();
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

/// Guards against work that outlives a deadline which is shorter than a connection may take.
#[googletest::test]
fn a_call_with_a_short_deadline_ends_soon_after_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, mut parts) = mpsc::channel(32);
    let started = Instant::now();
    call_to(address, &Clients::new(), SHORT_DEADLINE, tx).run();
    expect_that!(started.elapsed(), le(SHORT_DEADLINE * 7));
    expect_true!(matches!(
        parts.blocking_recv(),
        Some(ResponsePart::Failed(FailReason::UpstreamTimeout))
    ));
}

/// Bytes that were received on the next connection in the queue of a listener, if there is one.
fn bytes_received(listener: &TcpListener) -> usize {
    listener.set_nonblocking(true).unwrap();
    let received = listener.accept().map(|(mut connection, _)| {
        let mut buf = Vec::new();
        connection.set_nonblocking(false).unwrap();
        connection.read_to_end(&mut buf).unwrap();
        buf.len()
    });
    received.unwrap_or(0)
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

/// Guards against a call that is sent after its attempt was cancelled, as one whose thread begins late.
#[googletest::test]
fn a_call_that_was_cancelled_before_it_was_sent_reaches_no_upstream() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, mut parts) = mpsc::channel(32);
    let call = call_to(address, &Clients::new(), LONG_DEADLINE, tx);
    call.cancelled.store(true, Ordering::Relaxed);
    call.run();
    expect_true!(matches!(
        parts.blocking_recv(),
        Some(ResponsePart::Failed(FailReason::Cancelled))
    ));
    expect_that!(bytes_received(&listener), eq(0));
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

/// Sends a complete answer to each of `count` connections.
fn serve_soundly(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for connection in listener.incoming().take(count) {
            let mut connection = connection.unwrap();
            let len = connection.read(&mut [0; 4096]).unwrap();
            assert_that!(len, gt(0));
            let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
            connection.write_all(answer).unwrap();
        }
    });
    address
}

/// Guards against calls that wait for, or fail with, those to upstreams that send bytes without end.
#[googletest::test]
fn calls_beside_answers_without_end_are_answered() {
    let clients = Clients::new();
    let sound = serve_soundly(SOUND_CALLS);
    for is_fast in [false, true] {
        let upstreams: Vec<_> = forms()
            .iter()
            .map(|form| Upstream::start(form, is_fast))
            .collect();
        for upstream in &upstreams {
            let (tx, mut parts) = mpsc::channel(32);
            let call = call_to(upstream.address, &clients, DEADLINE, tx);
            thread::spawn(move || call.run());
            thread::spawn(move || while parts.blocking_recv().is_some() {});
        }
        for _ in 0..SOUND_CALLS / 2 {
            let started = Instant::now();
            let (tx, mut parts) = mpsc::channel(32);
            call_to(sound, &clients, LONG_DEADLINE, tx).run();
            let mut last = None;
            while let Some(part) = parts.blocking_recv() {
                last = Some(part);
            }
            let elapsed = started.elapsed();
            println!("beside, fast {is_fast}: {elapsed:?}");
            expect_true!(matches!(last, Some(ResponsePart::Done)), "{last:?}");
            expect_that!(elapsed, le(SLACK), "fast {is_fast}");
        }
    }
}
