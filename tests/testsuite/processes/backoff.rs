//! Upstreams that refuse requests and ask for pauses.

use std::time::{Duration, Instant};

use coltsfootnotch_fakes::EngineConfig;
use googletest::prelude::*;

use super::daemon::wait_until;
use super::fleet::{Fleet, Plan};

/// The pause that the engine asks for.
const PAUSE: Duration = Duration::from_secs(3);
/// Time after a refusal in which requests may still arrive that were sent before it.
const IN_TRANSIT: Duration = Duration::from_millis(500);

fn plan() -> Plan {
    let engine = |name: &str| EngineConfig::new(name, "spec-llm");
    Plan {
        entries: 1,
        engines: vec![engine("spec-llm-1"), engine("spec-llm-2")],
        services: vec![],
    }
}

/// Guards against a sidecar that goes on starting requests at an engine that has refused one and asked for none for
/// a time: each of them fails, while the other engine has free slots.
#[test]
fn an_engine_that_asked_for_a_pause_is_started_no_requests_until_its_end() {
    let fleet = Fleet::start(plan());
    let mut sent = 0;
    let mut complete = || {
        sent += 1;
        fleet.caller(0).complete(&format!("question {sent}"), 4).0
    };
    wait_until("a request is served", || complete() == 200);
    let is_used = fleet.engines[0].stats().started > 0;
    let (refusing, other) = if is_used { (0, 1) } else { (1, 0) };
    let (refusing, other) = (&fleet.engines[refusing], &fleet.engines[other]);
    refusing.set_refusing(Some(PAUSE));
    wait_until("the engine refuses a request", || {
        complete();
        refusing.stats().refused > 0
    });
    let asked_at = Instant::now();
    while asked_at.elapsed() < IN_TRANSIT {
        complete();
    }
    let before = refusing.stats().refused;
    while asked_at.elapsed() < PAUSE - IN_TRANSIT / 2 {
        assert_that!(complete(), eq(200));
    }
    assert_that!(refusing.stats().refused, eq(before));
    refusing.set_refusing(None);
    other.set_refusing(Some(PAUSE * 100));
    let started = refusing.stats().started;
    wait_until("the engine is used again", || {
        complete();
        refusing.stats().started > started
    });
}
