//! Graceful shutdown of entries and sidecars.

use std::io::Read;
use std::time::Duration;

use coltsfootnotch_fakes::{EngineConfig, OrderConfig, expected_answer};
use googletest::prelude::*;

use super::daemon::{Daemon, Signal, wait_until};
use super::fleet::{Fleet, Plan};

const PROMPT: &str = "walkthrough notes of the third bay";
/// Makes a stream last some seconds, so that a signal arrives in the middle of it.
const TOKENS: u32 = 120;

/// Returns the configuration of an engine with a delay between tokens.
fn slow_engine(number: usize) -> EngineConfig {
    EngineConfig {
        time_per_token: Duration::from_millis(15),
        ..EngineConfig::new(format!("spec-llm-{number}"), "spec-llm")
    }
}

/// Stops an entry, then a sidecar, each during a stream. The stream completes, new requests are
/// served by other hosts, and the process exits with 0. A second signal stops a process at once,
/// with exit code 2.
#[test]
fn a_graceful_shutdown_truncates_no_stream() {
    let mut fleet = Fleet::start(Plan {
        entries: 2,
        engines: vec![slow_engine(1), slow_engine(2)],
        services: vec![OrderConfig::new("member-desk-1", "member-desk")],
    });
    stop_an_entry(&mut fleet);
    stop_a_sidecar(&mut fleet);
    stop_immediately(&mut fleet);
    for control in &mut fleet.controls {
        control.signal(Signal::Term);
        assert_that!(control.wait(), eq(0));
    }
}

fn stop_an_entry(fleet: &mut Fleet) {
    let mut stream = fleet.caller(0).stream(PROMPT, TOKENS);
    stream.read_tokens(5);
    fleet.entries[0].signal(Signal::Term);
    wait_until("the readiness probe fails", || !fleet.is_ready(0));
    assert_that!(fleet.caller(0).complete(PROMPT, 1).0, any![eq(503), eq(0)]);
    assert_that!(fleet.caller(1).complete(PROMPT, 1).0, eq(200));
    stream.read_to_end();
    assert_that!(stream.content(), eq(&expected_answer(PROMPT, TOKENS)));
    assert!(stream.is_complete(), "{}", stream.text);
    assert_that!(fleet.entries[0].wait(), eq(0));
}

fn stop_a_sidecar(fleet: &mut Fleet) {
    let mut stream = fleet.caller(1).stream(PROMPT, TOKENS);
    stream.read_tokens(5);
    let runs = |at: usize| fleet.engines[at].stats().running > 0;
    let (busy, other) = if runs(0) { (0, 1) } else { (1, 0) };
    fleet.sidecars[busy].signal(Signal::Term);
    let started = fleet.engines[busy].stats().started;
    for number in 0..10 {
        let prompt = format!("question {number}");
        let (status, content) = fleet.caller(1).complete(&prompt, 2);
        assert_that!(status, eq(200));
        assert_that!(content, eq(&expected_answer(&prompt, 2)));
    }
    assert_that!(fleet.engines[busy].stats().started, eq(started));
    assert_that!(fleet.engines[other].stats().started, ge(10));
    stream.read_to_end();
    assert_that!(stream.content(), eq(&expected_answer(PROMPT, TOKENS)));
    assert!(stream.is_complete(), "{}", stream.text);
    assert_that!(fleet.sidecars[busy].wait(), eq(0));
    fleet.sidecars[busy].start();
}

fn stop_immediately(fleet: &mut Fleet) {
    const LONG: u32 = 30_000;
    let mut stream = fleet.caller(1).stream(PROMPT, LONG);
    stream.read_tokens(1);
    let runs = |at: usize| fleet.engines[at].stats().running > 0;
    let busy = usize::from(!runs(0));
    for daemon in [&mut fleet.entries[1], &mut fleet.sidecars[busy]] {
        daemon.signal(Signal::Term);
        std::thread::sleep(Duration::from_millis(300));
        daemon.signal(Signal::Term);
        assert_that!(daemon.wait(), eq(2));
    }
    stream.read_to_end();
    assert!(!stream.is_complete(), "a truncated stream looks complete");
}

/// The sidecar, and then the entry, is stopped while a slow reader still has most of a long
/// response to read. Guards against a process that exits with part of the response in its buffers.
#[test]
fn a_graceful_shutdown_waits_for_a_slow_reader() {
    let engine = EngineConfig {
        time_per_token: Duration::ZERO,
        ..EngineConfig::new("spec-llm-1", "spec-llm")
    };
    let mut fleet = Fleet::start(Plan {
        entries: 1,
        engines: vec![engine],
        services: vec![],
    });
    // Longer than the time for which the sidecar buffers chunks for a disconnected entry.
    read_slowly(&fleet, Duration::from_secs(6), &fleet.sidecars[0]);
    assert_that!(fleet.sidecars[0].wait(), eq(0));
    fleet.sidecars[0].start();
    fleet.wait_ready();
    read_slowly(&fleet, Duration::from_secs(2), &fleet.entries[0]);
    assert_that!(fleet.entries[0].wait(), eq(0));
}

/// Starts a long stream, stops a daemon, pauses, and reads the rest slowly.
fn read_slowly(fleet: &Fleet, pause: Duration, stopped: &Daemon) {
    const LONG: u32 = 30_000;
    const READ_BYTES: usize = 64 * 1024;
    const SLOW_BYTES: usize = 1_500_000;
    let mut connection = fleet.caller(0).raw_stream(PROMPT, LONG);
    let mut buf = vec![0; READ_BYTES];
    let mut received = vec![0; 1024];
    connection
        .read_exact(&mut received)
        .expect("the stream starts");
    stopped.signal(Signal::Term);
    std::thread::sleep(pause);
    loop {
        match connection
            .read(&mut buf)
            .expect("the connection is closed without an error")
        {
            0 => break,
            len => received.extend_from_slice(&buf[..len]),
        }
        // The last megabytes are in the system's buffers; those that the process holds longest come
        // before them.
        if received.len() < SLOW_BYTES {
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    let text = String::from_utf8(received).expect("the response is UTF-8");
    // The last chunk of a chunked body marks a complete response.
    assert!(
        text.ends_with("\r\n0\r\n\r\n"),
        "truncated after {} bytes",
        text.len()
    );
    assert!(
        text.contains("data: [DONE]"),
        "truncated after {} bytes",
        text.len()
    );
    let tokens = text.matches("\"content\":\"").count();
    assert_that!(tokens, eq(LONG as usize));
}
