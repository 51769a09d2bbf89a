//! Placement and refusals under heavy load.

use std::time::Duration;

use coltsfootnotch_forward::load::PromptSegment;
use coltsfootnotch_forward::place::{Prompt, RefusalReason};
use googletest::prelude::*;

use super::engines::{Fleet, TARGET};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A prompt about one of many subjects: 2,520 tokens shared by a quarter of all prompts, 3,780
/// shared by those about the subject, and 2,890 unique ones.
fn prompt_about(subject: u64) -> Prompt {
    Prompt {
        tokens: 9_190,
        output_tokens: 52,
        shared: vec![
            PromptSegment {
                id: 1_000_000 + subject % 4,
                tokens: 2_520,
            },
            PromptSegment {
                id: subject,
                tokens: 3_780,
            },
        ],
    }
}

/// A short prompt without shared segments.
fn short_prompt() -> Prompt {
    Prompt {
        tokens: 543,
        output_tokens: 280,
        shared: Vec::new(),
    }
}

/// 68 subjects at 40 requests per second, for 9 engines that together prefill 225 tokens per
/// millisecond. Without caching the prompts need 368; with each subject cached at one engine, 116.
#[googletest::test]
fn subjects_are_distributed_over_the_engines() {
    let mut fleet = Fleet::new(9);
    for n in 0..800_u64 {
        let _placed = fleet.place(at(n * 25), &prompt_about(n * 7 % 68), None);
    }
    let copies: u32 = fleet
        .prefills_of_segment
        .iter()
        .filter(|(id, _)| **id < 68)
        .map(|(_, n)| n)
        .sum();
    expect_that!(
        copies,
        lt(68 * 2),
        "each subject is prefilled at fewer than two engines"
    );
    expect_that!(
        fleet.prefilled / 800,
        lt(4_500),
        "prefilled tokens per request"
    );
}

/// One subject gets more traffic than one engine can serve: others with capacity prefill and cache
/// it too, and few requests are refused.
#[googletest::test]
fn a_hot_subject_is_cached_by_several_engines() {
    let mut fleet = Fleet::new(9);
    let refused = (0..400).filter(|n| fleet.place(at(n * 25), &prompt_about(3), None).is_err());
    expect_that!(refused.count(), lt(40));
    expect_that!(fleet.prefills_of_segment[&3], all!(ge(3), le(9)));
}

/// Requests of an account above its share are refused at the subject's preferred engine instead of
/// spreading over the engines of all other accounts.
#[googletest::test]
fn a_flood_does_not_spread_its_subject() {
    let mut fleet = Fleet::new(9);
    let refused = (0..400).filter(|n| fleet.place(at(n * 25), &prompt_about(3), 1.5).is_err());
    expect_that!(refused.count(), gt(100));
    expect_that!(fleet.prefills_of_segment[&3], eq(1));
}

/// A burst of six times the capacity: admitted requests start within the target, the rest is
/// refused.
#[googletest::test]
fn a_burst_is_served_in_time_or_refused_at_once() {
    let mut fleet = Fleet::new(3);
    let mut late = 0;
    let mut served = 0;
    for n in 0..3_000_u64 {
        let now = at(n * 2);
        match fleet.place(now, &short_prompt(), None) {
            Ok((_, first_event_at)) => {
                served += 1;
                late += usize::from(first_event_at > now + TARGET);
            }
            Err(refusal) => {
                expect_that!(refusal.reason, eq(RefusalReason::Saturated));
                expect_that!(refusal.retry_after, lt(Duration::from_secs(1)));
            }
        }
    }
    expect_that!(late, eq(0));
    expect_that!(
        served,
        gt(700),
        "the engines are kept busy: 3 x 25 tokens in 6,000 ms"
    );
}

/// Two accounts exceed the capacity: the one below its share is admitted nearly always, since the
/// bound of the other is lower.
#[googletest::test]
fn a_flood_leaves_capacity_for_others() {
    let mut fleet = Fleet::new(3);
    let mut refused = [0, 0];
    for n in 0..3_000_u64 {
        let is_small = n % 10 == 0;
        let pressure = if is_small { 0.5 } else { 2.0 };
        let outcome = fleet.place(at(n * 2), &short_prompt(), pressure);
        refused[usize::from(!is_small)] += usize::from(outcome.is_err());
    }
    expect_that!(refused[0], lt(10), "of 300 of the small account");
    expect_that!(refused[1], gt(1_000), "of 2,700 of the flood");
}

/// A flood has filled the engine beyond the normal bound: an account far below its share is still
/// admitted, one near its share is not.
#[googletest::test]
fn a_small_account_is_admitted_at_a_saturated_engine() {
    let mut fleet = Fleet::new(1);
    while fleet.place(at(0), &short_prompt(), None).is_ok() {}
    expect_that!(fleet.place(at(0), &short_prompt(), 0.9).is_err(), eq(true));
    for _ in 0..4 {
        expect_that!(fleet.place(at(0), &short_prompt(), 0.1).is_ok(), eq(true));
    }
}

/// One of three engines turns five times slower without failures.
#[googletest::test]
fn a_slow_engine_loses_its_share_within_two_seconds() {
    let mut fleet = Fleet::new(3);
    let count = |fleet: &mut Fleet, from: u64, to: u64| {
        let mut got = [0; 3];
        for now in (from..to).step_by(20) {
            if let Ok((engine, _)) = fleet.place(at(now), &short_prompt(), None) {
                got[engine] += 1;
            }
        }
        got
    };
    let even = count(&mut fleet, 0, 2_000);
    expect_that!(even[0], gt(15));
    fleet.slowness[0] = 5.0;
    count(&mut fleet, 2_000, 4_000);
    let slow = count(&mut fleet, 4_000, 6_000);
    expect_that!(slow[0] * 3, lt(even[0]));
    expect_that!(
        slow.iter().sum::<i32>(),
        eq(100),
        "the others take over its share"
    );
}

/// Prompts nearly as large as the memory are admitted at an idle engine; short ones avoid that
/// engine.
#[googletest::test]
fn long_prompts_are_admitted_and_short_ones_avoid_their_engine() {
    let mut fleet = Fleet::new(3);
    let long = Prompt {
        tokens: 39_600,
        output_tokens: 50,
        shared: Vec::new(),
    };
    let (busy, _) = fleet.place(at(0), &long, None).unwrap();
    for n in 1..20 {
        let (engine, first_event_at) = fleet.place(at(n * 10), &short_prompt(), None).unwrap();
        expect_that!(engine, not(eq(busy)));
        expect_that!(first_event_at, le(at(n * 10) + TARGET));
    }
}
