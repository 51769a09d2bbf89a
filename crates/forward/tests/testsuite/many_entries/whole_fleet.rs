//! A fleet of 361 entries and 635 engines at a tenth of what the engines can do: an entry sees a subject once in
//! minutes, and all entries together see hundreds of subjects a second.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::PromptSegment;
use coltsfootnotch_forward::place::{CopyRate, Prompt};
use googletest::prelude::*;
use rand::Rng;
use rand::rngs::StdRng;

use super::fleet::{Fleet, Load, Outcomes, Setup};

const ACCOUNTS: usize = 333;
const REQUESTS_PER_S: f64 = 1_360.0;
/// Share of the requests that the fleet has to serve in time, also while nothing is cached yet.
const IN_TIME: f64 = 0.97;

fn segments(first: u64, subject: u64, sizes: [u32; 2]) -> Vec<PromptSegment> {
    let ids = [first, subject].into_iter().zip(sizes);
    ids.map(|(id, tokens)| PromptSegment { id, tokens })
        .collect()
}

/// A long draft, a question or notes, about one of some 1,500 subjects each.
fn prompt(rng: &mut StdRng, _account: usize) -> Prompt {
    let subject = rng.random_range(0..1_500);
    let own: f64 = rng.random_range(0.3..2.0);
    match rng.random_range(0..1_360) {
        0..518 => Prompt {
            tokens: 6_300 + (2_890.0 * own) as u32,
            output_tokens: 56,
            shared: segments(subject % 4, 100_000 + subject, [2_520, 3_780]),
        },
        518..1_073 => Prompt {
            tokens: 568 + (1_800.0 * own) as u32,
            output_tokens: 24,
            shared: segments(1_000 + subject % 32, 200_000 + subject, [341, 227]),
        },
        _ => Prompt {
            tokens: 172 + (543.0 * own) as u32,
            output_tokens: 280,
            shared: segments(2_000 + subject % 160, 300_000 + subject, [103, 69]),
        },
    }
}

fn fleet(times: usize) -> Fleet {
    Fleet::new(Setup {
        entries: 361 * times,
        engines: 635 * times,
        tokens_per_ms: 36.7,
        stated_share: 0.8,
        memory_tokens: 267_094,
        copy_rate: Some(CopyRate {
            tokens_per_ms: 2_500.0,
        }),
        target: Duration::from_millis(500),
        period_ms: 150,
        prompt,
    })
}

fn loads(times: f64) -> Vec<Load> {
    let load = |n: usize| Load {
        account: Arc::from(format!("account-{n}")),
        per_s: REQUESTS_PER_S * times / ACCOUNTS as f64,
    };
    (0..ACCOUNTS).map(load).collect()
}

fn in_time(outcomes: &[Outcomes]) -> f64 {
    let requests: u32 = outcomes.iter().map(|o| o.requests).sum();
    let missed: u32 = outcomes.iter().map(|o| o.refused + o.late).sum();
    1.0 - f64::from(missed) / f64::from(requests)
}

/// Guards against entries that all send the prompts of new subjects to the same few engines: those that had a common
/// first segment before the others.
#[googletest::test]
fn a_fleet_that_has_nothing_cached_serves_in_time() {
    let mut fleet = fleet(1);
    let (outcomes, _) = fleet.simulate(&loads(1.0), Duration::from_secs(2));
    expect_that!(in_time(&outcomes), ge(IN_TIME));
    let most = fleet.most_prefilled();
    expect_that!(most, le(4.0), "the busiest engine to the mean one");
}

/// Guards against limits and choices that hold at one size of the fleet only.
#[googletest::test]
fn twice_the_fleet_serves_twice_the_load_in_time() {
    let mut fleet = fleet(2);
    let (outcomes, _) = fleet.simulate(&loads(2.0), Duration::from_millis(600));
    expect_that!(in_time(&outcomes), ge(IN_TIME));
}
