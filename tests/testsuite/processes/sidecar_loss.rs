//! Sidecars that are killed and callers that disconnect.

use std::thread;
use std::time::{Duration, Instant};

use coltsfootnotch_fakes::{EngineConfig, OrderConfig, expected_answer};
use googletest::prelude::*;

use super::daemon::wait_until;
use super::fleet::{Fleet, Plan};

const PROMPT: &str = "a full specification of primer, screed and topcoat";
/// More than a stream receives before it breaks.
const TOKENS: u32 = 2_000;

fn plan() -> Plan {
    Plan {
        entries: 1,
        engines: vec![EngineConfig {
            time_per_token: Duration::from_millis(15),
            slots: 2,
            ..EngineConfig::new("spec-llm-1", "spec-llm")
        }],
        services: vec![OrderConfig {
            delay: Duration::from_millis(1_500),
            ..OrderConfig::new("member-desk-1", "member-desk")
        }],
    }
}

/// Guards against an engine that continues for a disconnected caller, a stream that is truncated
/// without an error event when its sidecar is killed, and a booking that is made twice when the
/// sidecar is killed before the outcome is known.
#[test]
fn a_lost_sidecar_or_caller_causes_no_silent_truncation_and_no_second_booking() {
    let mut fleet = Fleet::start(plan());
    disconnect_caller_during_stream(&fleet);
    kill_sidecar_during_stream(&mut fleet);
    kill_sidecar_during_booking(&mut fleet);
}

fn disconnect_caller_during_stream(fleet: &Fleet) {
    let engine = &fleet.engines[0];
    let before = engine.stats();
    let mut stream = fleet.caller(0).stream(PROMPT, TOKENS);
    stream.read_tokens(3);
    drop(stream);
    let disconnected_at = Instant::now();
    wait_until("the engine is idle", || engine.stats().running == 0);
    println!(
        "the engine was idle {:?} after the caller had disconnected",
        disconnected_at.elapsed()
    );
    let after = engine.stats();
    let unfinished = |stats: &coltsfootnotch_fakes::EngineStats| stats.cancelled + stats.abandoned;
    assert_that!(unfinished(&after), eq(unfinished(&before) + 1));
    assert_that!(after.finished, eq(before.finished));
    assert_that!(after.tokens - before.tokens, lt(u64::from(TOKENS)));
}

fn kill_sidecar_during_stream(fleet: &mut Fleet) {
    let mut stream = fleet.caller(0).stream(PROMPT, TOKENS);
    stream.read_tokens(3);
    fleet.sidecars[0].kill();
    stream.read_to_end();
    assert!(!stream.is_complete(), "a truncated stream looks complete");
    let error = stream.error().expect("the stream ends with an error event");
    assert_that!(error["error"]["run"].as_str(), some(eq("yes")));
    assert_that!(
        expected_answer(PROMPT, TOKENS),
        starts_with(stream.content())
    );
    fleet.sidecars[0].start();
    fleet.wait_ready();
}

fn kill_sidecar_during_booking(fleet: &mut Fleet) {
    const KEY: &str = "sample-order-1";
    let caller = fleet.caller(0);
    let first = {
        let caller = caller.clone();
        thread::spawn(move || caller.book(KEY))
    };
    let service = &fleet.services[0];
    wait_until("the service handles the booking", || {
        service.stats().running == 1
    });
    fleet.sidecars[1].kill();
    let (status, body) = first.join().expect("the booking thread finishes");
    assert_that!(status, ge(500));
    assert_that!(body["error"]["run"].as_str(), some(eq("unknown")));
    let count = || fleet.services[0].bookings().get(KEY).copied().unwrap_or(0);
    for _ in 0..2 {
        assert_in_doubt_or_reread(&caller.book(KEY), count());
    }
    fleet.sidecars[1].start();
    fleet.wait_ready();
    for _ in 0..3 {
        assert_in_doubt_or_reread(&caller.book(KEY), count());
        assert_that!(count(), le(1));
    }
    let other = caller.book("sample-order-2");
    assert_that!(other.0, eq(201));
}

/// Checks that a repeated booking is found by rereading, is in doubt, or is refused as not run,
/// which happens without the sidecar of the service.
#[track_caller]
fn assert_in_doubt_or_reread((status, body): &(u16, serde_json::Value), bookings: usize) {
    match *status {
        200 | 201 => assert_that!(bookings, eq(1)),
        409 => assert_that!(body["error"]["type"].as_str(), some(eq("in_doubt"))),
        503 => assert_that!(body["error"]["run"].as_str(), some(eq("no"))),
        _ => panic!("{status}: {body}"),
    }
}
