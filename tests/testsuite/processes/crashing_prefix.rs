//! Prompts with a common prefix that crashes every engine that begins to answer them.

use std::thread;
use std::time::Duration;

use coltsfootnotch_fakes::{EngineConfig, POISON_MARKER};
use googletest::prelude::*;

use super::daemon::wait_until;
use super::fleet::{Fleet, Plan};

const ENGINES: usize = 4;

/// Prompts sent with the bad prefix.
const BAD_PROMPTS: usize = 24;

/// Most engines that may crash: the prefix has to be known after the fifth, and three may follow.
const MAX_CRASHES: u64 = 8;

/// Least part of the sound prompts that are answered meanwhile.
const MIN_SERVED: f64 = 0.5;

fn plan() -> Plan {
    let engine = |n| EngineConfig {
        down_after_crash: Duration::from_millis(300),
        ..EngineConfig::new(format!("spec-llm-{n}"), "spec-llm")
    };
    Plan {
        entries: 1,
        engines: (1..=ENGINES).map(engine).collect(),
        services: vec![],
    }
}

/// Guards against a prefix that crashes one engine after the other in prompts of which no two are alike.
#[test]
fn a_prefix_that_crashes_engines_is_refused() {
    let fleet = Fleet::start(plan());
    let caller = fleet.caller(0);
    wait_until("a request is served", || {
        caller.complete("a first question", 4).0 == 200
    });
    let bad_prefix = format!("{POISON_MARKER}{}", "b".repeat(300));
    let sound_prefix = "s".repeat(300);
    let (mut sound, mut served) = (0, 0);
    for n in 0..BAD_PROMPTS {
        caller.complete(&format!("{bad_prefix} and {n}"), 4);
        for tail in ["one", "two"] {
            sound += 1;
            let (status, _) = caller.complete(&format!("{sound_prefix} {tail} {n}"), 4);
            served += u32::from(status == 200);
        }
        thread::sleep(Duration::from_millis(300));
    }
    let crashes: u64 = fleet.engines.iter().map(|e| e.stats().crashes).sum();
    assert_that!(crashes, le(MAX_CRASHES));
    assert_that!(f64::from(served), ge(f64::from(sound) * MIN_SERVED));
}
