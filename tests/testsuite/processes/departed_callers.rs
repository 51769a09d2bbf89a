//! Callers that leave before their response is complete: nothing is started or worked on for them afterwards.

use std::thread;
use std::time::Duration;

use coltsfootnotch_fakes::{EngineConfig, EngineStats, OrderConfig};
use coltsfootnotch_wire::announce::Capabilities;
use googletest::prelude::*;

use super::daemon::Signal;
use super::fleet::{Fleet, Plan};

/// Time after the departure of callers in which work for them ends.
const LEFT: Duration = Duration::from_millis(500);
/// Time after which all that may still be started has been started.
const SETTLED: Duration = Duration::from_millis(1_500);
/// Slots of the engine.
const SLOTS: u32 = 4;
/// Requests sent one after the other, and the longest stay of their callers.
const BRIEF: u32 = 60;
const LONGEST_STAY: Duration = Duration::from_millis(20);

/// A fleet with an engine that takes longer to its first token than any test waits, unless the prompt is short.
fn fleet(cancel: bool) -> Fleet {
    let capabilities = Capabilities {
        cancel,
        ..EngineConfig::new("", "").capabilities
    };
    Fleet::start(Plan {
        entries: 1,
        engines: vec![EngineConfig {
            slots: SLOTS,
            per_prompt_token: Duration::from_millis(50),
            time_per_token: Duration::from_millis(20),
            capabilities,
            ..EngineConfig::new("spec-llm-1", "spec-llm")
        }],
        services: vec![],
    })
}

/// A prompt that takes some seconds to read; differs from those of other numbers.
fn long_prompt(n: u32) -> String {
    let words = (0..200).map(|word| format!("{n}-{word} "));
    words.collect()
}

fn at_work(stats: &EngineStats) -> u32 {
    stats.running + stats.waiting
}

/// Guards against work that goes on at an engine for callers that have left, and against the start of requests that
/// were queued then. An engine that can't be told to cancel learns of it by the end of its connection.
fn assert_work_ends(cancel: bool) {
    let fleet = fleet(cancel);
    let caller = fleet.caller(0);
    let engine = &fleet.engines[0];
    let mut stream = caller.stream("go", 1_000);
    stream.read_tokens(3);
    let callers: Vec<_> = (0..2 * SLOTS)
        .map(|n| caller.raw_stream(&long_prompt(n), 10))
        .collect();
    thread::sleep(Duration::from_millis(600));
    let before = engine.stats();
    expect_that!(at_work(&before), eq(SLOTS), "{before:?}");
    drop(callers);
    drop(stream);
    thread::sleep(LEFT);
    let after = engine.stats();
    expect_that!(at_work(&after), eq(0), "{after:?}");
    thread::sleep(SETTLED);
    let settled = engine.stats();
    expect_that!(settled.started, eq(before.started));
}

#[googletest::test]
fn work_for_callers_that_have_left_ends_at_an_engine_that_can_cancel() {
    assert_work_ends(true);
}

#[googletest::test]
fn work_for_callers_that_have_left_ends_at_an_engine_that_can_not_cancel() {
    assert_work_ends(false);
}

/// Guards against an attempt that is started after it was cancelled, since the messages for both overtake each other.
#[googletest::test]
fn no_request_of_callers_that_leave_at_once_is_worked_on() {
    let fleet = fleet(false);
    let caller = fleet.caller(0);
    let engine = &fleet.engines[0];
    for n in 0..BRIEF {
        let connection = caller.raw_stream(&long_prompt(n), 10);
        thread::sleep(LONGEST_STAY * n / BRIEF);
        drop(connection);
    }
    thread::sleep(LEFT);
    let stats = engine.stats();
    expect_that!(at_work(&stats), eq(0), "{stats:?}");
}

/// Time for which the control hosts stand still: shorter than that after which their connections are given up.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Guards against orders that are sent for callers who left while the log was to commit that they are: nobody learns
/// of them, and their callers may have ordered elsewhere.
#[googletest::test]
fn orders_of_callers_that_left_before_they_were_sent_are_not_run() {
    let fleet = Fleet::start(Plan {
        entries: 1,
        engines: vec![],
        services: vec![OrderConfig::new("member-desk-1", "member-desk")],
    });
    let caller = fleet.caller(0);
    expect_that!(caller.book("first").0, eq(201));
    let to_all = |signal| fleet.controls.iter().for_each(|c| c.signal(signal));
    to_all(Signal::Stop);
    let orders = ["left-1", "left-2", "left-3"].map(|key| caller.raw_booking(key));
    thread::sleep(PAUSE / 4);
    drop(orders);
    thread::sleep(PAUSE * 3 / 4);
    to_all(Signal::Continue);
    thread::sleep(SETTLED);
    let booked: Vec<_> = fleet.services[0].bookings().into_keys().collect();
    expect_that!(booked, elements_are![eq("first")]);
    // The keys are free for another try.
    expect_that!(caller.book_until_acknowledged("left-1"), some(anything()));
}
