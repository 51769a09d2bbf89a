use googletest::prelude::*;

use super::*;

/// Interval of the entry's ticks.
const TICK: Duration = Duration::from_millis(20);

const BAD: u64 = 0xbad;

fn crash(number: u64, prefixes: &[u64]) -> UpstreamCrash {
    let host = HostName::new(format!("sidecar-{}", number % 4)).unwrap();
    UpstreamCrash {
        crash: CrashRef {
            host,
            incarnation: Incarnation(1),
            number,
        },
        upstream: UpstreamName::new(format!("engine-{}", number % 4)).unwrap(),
        pool: Some(PoolName::new("spec").unwrap()),
        suspects: Vec::new(),
        prefixes: prefixes.to_vec(),
        age_ms: 0,
    }
}

/// Plays crashes at an interval, each beside answers of other prefixes; returns those after which a prefix is
/// refused.
fn refused_after(crashes: u64, interval: Duration, prefixes: &[u64], answered: &[u64]) -> Vec<u64> {
    let host = HostName::new("entry").unwrap();
    let mut suspects = CrashSuspects::new(&host, Incarnation(1));
    let pool = PoolName::new("spec").unwrap();
    let mut now = Duration::from_secs(1);
    let mut refused = Vec::new();
    for number in 0..crashes {
        suspects.on_crash(now, crash(number, prefixes));
        let end = now + interval;
        while now < end {
            now += TICK;
            answered
                .iter()
                .for_each(|prefix| suspects.on_answer(now, &pool, *prefix));
            suspects.tick(now);
        }
        if suspects.prefixes.is_refused(now, &[segment(BAD)]) {
            refused.push(number);
        }
    }
    refused
}

/// Guards against a prefix that crashes one upstream after the other in requests of which no two are alike.
#[gtest]
fn a_prefix_that_crashes_upstreams_is_refused() {
    let refused = refused_after(10, Duration::from_millis(500), &[BAD, 5], &[5, 6]);
    expect_that!(refused.first(), some(le(&4)), "{refused:?}");
    expect_that!(refused.len(), ge(6));
}

/// Guards against a sound prefix that is refused for crashes beside its answers, or while nothing answers.
#[gtest]
fn a_prefix_that_is_answered_between_crashes_is_not_refused() {
    let interval = Duration::from_millis(500);
    expect_that!(refused_after(20, interval, &[BAD], &[BAD, 6]), is_empty());
    expect_that!(refused_after(20, interval, &[BAD], &[]), is_empty());
}

/// Guards against prompts without a prefix that are refused together.
#[gtest]
fn requests_without_a_prompt_are_not_suspected() {
    let refused = refused_after(20, Duration::from_millis(500), &[], &[0, 6]);
    expect_that!(refused, is_empty());
}
