//! Streams over a connection that breaks and comes back.

use std::thread;
use std::time::Duration;

use coltsfootnotch_fakes::{EngineConfig, expected_answer};
use googletest::prelude::*;

use super::daemon::Signal;
use super::fleet::{Fleet, Plan};

const PROMPT: &str = "walkthrough notes of a hospital corridor, room by room";
const TOKENS: u32 = 400;
/// Longer than a connection stands without a word (2 s), shorter than streams are held (5 s).
const FROZEN: Duration = Duration::from_millis(3_000);

/// A sidecar's host stands still for three seconds, as a virtual machine does that moves, while a
/// stream runs through it. Its connection to the entry is given up and made anew; the entry asks for
/// the pieces from the first that it has not delivered, and the caller sees a pause and the whole
/// answer, no token lost or doubled. The other way round, a frozen entry takes its streams up too.
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
    stream_while(&fleet, || {
        fleet.sidecars[0].signal(Signal::Stop);
        thread::sleep(FROZEN);
        fleet.sidecars[0].signal(Signal::Continue);
    });
    fleet.wait_ready();
    stream_while(&fleet, || {
        fleet.entries[0].signal(Signal::Stop);
        thread::sleep(FROZEN);
        fleet.entries[0].signal(Signal::Continue);
    });
}

/// Connections to the sidecar that the entry has lost so far.
fn lost(fleet: &Fleet) -> usize {
    let log = fleet.entries[0].log();
    let lost = |line: &&str| line.contains("CFN-0011") && line.contains("peer=sidecar/");
    log.lines().filter(lost).count()
}

fn stream_while(fleet: &Fleet, disturb: impl FnOnce()) {
    let lost_before = lost(fleet);
    let mut stream = fleet.caller(0).stream(PROMPT, TOKENS);
    stream.read_tokens(20);
    disturb();
    stream.read_to_end();
    assert_that!(lost(fleet), gt(lost_before));
    assert_that!(stream.error(), none());
    assert!(stream.is_whole(), "the stream did not come to its end");
    assert_that!(stream.content(), eq(&expected_answer(PROMPT, TOKENS)));
}
