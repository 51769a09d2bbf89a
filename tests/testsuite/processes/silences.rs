//! Engines that fall silent for a moment and go on: a silence ends no stream.

use std::thread;
use std::time::Duration;

use coltsfootnotch_fakes::EngineConfig;
use googletest::prelude::*;

use super::daemon::Signal;
use super::fleet::{Fleet, Plan};

/// Time without a token that a sound engine may take.
const SILENCE: Duration = Duration::from_millis(1_400);
/// Tokens of a stream.
const TOKENS: u32 = 3;
/// Time from the first token to what operators do.
const WORK_AFTER: Duration = Duration::from_millis(200);

/// Has a stream of a slow engine go on beside `work`.
fn expect_whole_beside(work: impl FnOnce(&Fleet)) {
    let fleet = Fleet::start(Plan {
        entries: 1,
        engines: vec![EngineConfig {
            time_per_token: SILENCE,
            ..EngineConfig::new("spec-llm-1", "spec-llm")
        }],
        services: vec![],
    });
    let caller = fleet.caller(0);
    let mut stream = caller.stream("go", TOKENS);
    stream.read_tokens(1);
    thread::sleep(WORK_AFTER);
    work(&fleet);
    stream.read_to_end();
    expect_true!(stream.is_complete(), "{:?}", stream.content());
}

/// Guards against a stream that is cut in a silence of its only engine.
#[googletest::test]
fn a_silence_of_the_only_engine_ends_no_stream() {
    expect_whole_beside(|_| {});
}

/// Guards against a stream that is cut in a silence since its entry or its sidecar stops.
#[googletest::test]
fn a_silence_beside_a_stop_ends_no_stream() {
    expect_whole_beside(|fleet| fleet.entries[0].signal(Signal::Term));
    expect_whole_beside(|fleet| fleet.sidecars[0].signal(Signal::Term));
}

/// Guards against a stream that is cut in a silence since the configuration changes.
#[googletest::test]
fn a_silence_beside_configurations_ends_no_stream() {
    expect_whole_beside(|fleet| {
        for number in 2..6 {
            expect_true!(fleet.apply(number), "manifest {number} is accepted");
        }
    });
}
