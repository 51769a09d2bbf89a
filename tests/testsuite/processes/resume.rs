//! Streams that resume after a broken connection.

use std::thread;
use std::time::Duration;

use coltsfootnotch_fakes::{EngineConfig, expected_answer};
use googletest::prelude::*;

use super::daemon::Signal;
use super::fleet::{Fleet, Plan};

const PROMPT: &str = "walkthrough notes of a hospital corridor, room by room";
const TOKENS: u32 = 400;
/// Longer than the idle timeout of a connection (2 s), shorter than the resume window (5 s).
const PAUSE: Duration = Duration::from_millis(3_000);

/// A process is paused for three seconds during a stream, first the sidecar and then the entry. The
/// connection between them breaks and the entry resumes the stream. Guards against lost or
/// duplicated tokens and against a stream that fails.
#[test]
fn a_stream_goes_on_after_its_connection_broke() {
    let fleet = Fleet::start(Plan {
        entries: 1,
        engines: vec![EngineConfig {
            time_per_token: Duration::from_millis(15),
            ..EngineConfig::new("spec-llm-1", "spec-llm")
        }],
        services: vec![],
    });
    assert_stream_survives(&fleet, || {
        fleet.sidecars[0].signal(Signal::Stop);
        thread::sleep(PAUSE);
        fleet.sidecars[0].signal(Signal::Continue);
    });
    fleet.wait_ready();
    assert_stream_survives(&fleet, || {
        fleet.entries[0].signal(Signal::Stop);
        thread::sleep(PAUSE);
        fleet.entries[0].signal(Signal::Continue);
    });
}

/// Number of lost connections to the sidecar that the entry has logged.
fn lost_connections(fleet: &Fleet) -> usize {
    let log = fleet.entries[0].log();
    let is_lost = |line: &&str| line.contains("CFN-0011") && line.contains("peer=sidecar/");
    log.lines().filter(is_lost).count()
}

fn assert_stream_survives(fleet: &Fleet, inject_fault: impl FnOnce()) {
    let lost_before = lost_connections(fleet);
    let mut stream = fleet.caller(0).stream(PROMPT, TOKENS);
    stream.read_tokens(20);
    inject_fault();
    stream.read_to_end();
    assert_that!(lost_connections(fleet), gt(lost_before));
    assert_that!(stream.error(), none());
    assert!(stream.is_complete(), "the stream is incomplete");
    assert_that!(stream.content(), eq(&expected_answer(PROMPT, TOKENS)));
}
