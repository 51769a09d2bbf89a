//! A sidecar that is killed, and callers that go away.

use std::thread;
use std::time::{Duration, Instant};

use coltsfootnotch_fakes::{EngineConfig, OrderConfig, expected_answer};
use googletest::prelude::*;

use super::daemon::wait_until;
use super::fleet::{Fleet, Plan};

const PROMPT: &str = "a full specification of primer, screed and topcoat";
/// More than the stream brings before it is cut off.
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

/// A caller hangs up in the middle of its stream: the engine must not go on for nobody. Then the
/// sidecar dies in the middle of a stream, and in the middle of a booking. The stream ends in an
/// explicit error event. The booking is unknown, since the order service may have made it; sent
/// again it is in doubt or found by rereading, and never made twice.
#[test]
fn a_lost_sidecar_or_caller_leaves_no_silent_cut_and_no_second_booking() {
    let mut fleet = Fleet::start(plan());
    a_caller_goes_away(&fleet);
    a_sidecar_dies_in_a_stream(&mut fleet);
    a_sidecar_dies_in_a_booking(&mut fleet);
}

fn a_caller_goes_away(fleet: &Fleet) {
    let engine = &fleet.engines[0];
    let before = engine.stats();
    let mut stream = fleet.caller(0).stream(PROMPT, TOKENS);
    stream.read_tokens(3);
    drop(stream);
    let gone = Instant::now();
    wait_until("the engine is free", || engine.stats().running == 0);
    println!("work ended {:?} after its caller had gone", gone.elapsed());
    let after = engine.stats();
    let ended = |stats: &coltsfootnotch_fakes::EngineStats| stats.cancelled + stats.abandoned;
    assert_that!(ended(&after), eq(ended(&before) + 1));
    assert_that!(after.finished, eq(before.finished));
    assert_that!(after.tokens - before.tokens, lt(u64::from(TOKENS)));
}

fn a_sidecar_dies_in_a_stream(fleet: &mut Fleet) {
    let mut stream = fleet.caller(0).stream(PROMPT, TOKENS);
    stream.read_tokens(3);
    fleet.sidecars[0].kill();
    stream.read_to_end();
    assert!(!stream.is_whole(), "a stream that was cut off looks whole");
    let error = stream.error().expect("an error event");
    assert_that!(error["error"]["run"].as_str(), some(eq("yes")));
    assert_that!(
        expected_answer(PROMPT, TOKENS),
        starts_with(stream.content())
    );
    fleet.sidecars[0].start();
    fleet.wait_ready();
}

fn a_sidecar_dies_in_a_booking(fleet: &mut Fleet) {
    const KEY: &str = "sample-order-1";
    let caller = fleet.caller(0);
    let first = {
        let caller = caller.clone();
        thread::spawn(move || caller.book(KEY))
    };
    let service = &fleet.services[0];
    wait_until("the service works on it", || service.stats().running == 1);
    fleet.sidecars[1].kill();
    let (status, body) = first.join().expect("an answer");
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

/// Without its sidecar the service can't be asked either; then the call is refused as not run.
#[track_caller]
fn assert_in_doubt_or_reread((status, body): &(u16, serde_json::Value), bookings: usize) {
    match *status {
        200 | 201 => assert_that!(bookings, eq(1)),
        409 => assert_that!(body["error"]["type"].as_str(), some(eq("in_doubt"))),
        503 => assert_that!(body["error"]["run"].as_str(), some(eq("no"))),
        _ => panic!("{status}: {body}"),
    }
}
