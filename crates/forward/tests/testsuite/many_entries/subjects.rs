//! Prompts about many subjects, most of whose tokens are shared.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::PromptSegment;
use coltsfootnotch_forward::place::{CopyRate, Prompt};
use googletest::prelude::*;
use rand::Rng;
use rand::rngs::StdRng;

use super::fleet::{Fleet, Load, Outcomes, Setup, TARGET};

const ACCOUNTS: usize = 60;
/// Subjects of each account.
const SUBJECTS: u64 = 15;
/// Requests per second over the whole fleet at a calm time.
const REQUESTS_PER_S: f64 = 1_512.0;

fn segment(id: u64, tokens: u32) -> PromptSegment {
    PromptSegment { id, tokens }
}

/// A prompt about one of the account's subjects.
fn prompt(rng: &mut StdRng, account: usize) -> Prompt {
    let subject = account as u64 * SUBJECTS + rng.random_range(0..SUBJECTS);
    prompt_about(rng, subject)
}

/// The same, of which a quarter is about one subject.
fn prompt_about_a_hot_subject(rng: &mut StdRng, account: usize) -> Prompt {
    if rng.random_bool(0.25) {
        return prompt_about(rng, 7);
    }
    prompt(rng, account)
}

/// A long draft, a question with a short shared part, or notes.
fn prompt_about(rng: &mut StdRng, subject: u64) -> Prompt {
    match rng.random_range(0..1_512) {
        0..576 => Prompt {
            tokens: 9_190,
            output_tokens: 52,
            shared: vec![
                segment(1 + subject % 4, 2_520),
                segment(100 + subject, 3_780),
            ],
        },
        576..1_193 => Prompt {
            tokens: 2_368,
            output_tokens: 24,
            shared: vec![
                segment(10 + subject % 4, 341),
                segment(10_000 + subject, 227),
            ],
        },
        _ => Prompt {
            tokens: 715,
            output_tokens: 280,
            shared: vec![
                segment(20 + subject % 18, 103),
                segment(20_000 + subject, 69),
            ],
        },
    }
}

fn fleet() -> Fleet {
    Fleet::new(Setup {
        entries: 70,
        engines: 120,
        tokens_per_ms: 32.0,
        stated_share: 0.75,
        memory_tokens: 234_931,
        copy_rate: None,
        target: TARGET,
        period_ms: 100,
        prompt,
    })
}

/// Accounts of which the first `floods` send `times` as much as the others.
fn loads(floods: usize, times: f64) -> Vec<Load> {
    let even_per_s = REQUESTS_PER_S / ACCOUNTS as f64;
    let load = |n: usize| Load {
        account: Arc::from(format!("account-{n}")),
        per_s: even_per_s * if n < floods { times } else { 1.0 },
    };
    (0..ACCOUNTS).map(load).collect()
}

fn share(outcomes: &[Outcomes], count: impl Fn(&Outcomes) -> u32) -> f64 {
    let requests: u32 = outcomes.iter().map(|o| o.requests).sum();
    f64::from(outcomes.iter().map(count).sum::<u32>()) / f64::from(requests)
}

fn repeated_share(fleet: &Fleet) -> f64 {
    let prefilled = fleet.prefilled();
    prefilled.repeated as f64 / prefilled.all as f64
}

/// A fleet that has worked off its cold start.
fn warm_fleet() -> Fleet {
    let mut fleet = fleet();
    fleet.simulate(&loads(0, 1.0), Duration::from_secs(10));
    fleet
}

/// Six accounts send six times their usual. When a busy home sent a prompt to any engine that looked
/// idle, engines prefilled a third of their tokens again, and half of the other accounts' requests
/// were late or refused.
#[googletest::test]
fn subjects_stay_at_their_homes_in_a_flood() {
    let mut fleet = warm_fleet();
    let (outcomes, _) = fleet.simulate(&loads(6, 6.0), Duration::from_secs(6));
    let others = &outcomes[6..];
    expect_that!(repeated_share(&fleet), lt(0.1));
    expect_that!(share(others, |o| o.refused), lt(0.1));
    expect_that!(share(others, |o| o.late), lt(0.1));
}

/// A third of the accounts flood: what engines prefill again would be taken from the others.
#[googletest::test]
fn subjects_stay_at_their_homes_when_a_third_of_the_accounts_flood() {
    let mut fleet = warm_fleet();
    let (outcomes, idle) = fleet.simulate(&loads(20, 7.0), Duration::from_secs(6));
    expect_that!(repeated_share(&fleet), lt(0.1));
    expect_that!(share(&outcomes[20..], |o| o.refused), lt(0.2));
    expect_that!(idle, lt(0.2));
}

/// A cold fleet prefills each subject once or twice before its caches serve. Spread by chance, the
/// subjects are prefilled by all engines, and a fleet that its load would not saturate stays
/// saturated.
#[googletest::test]
fn a_cold_fleet_recovers() {
    let mut fleet = warm_fleet();
    let (outcomes, _) = fleet.simulate(&loads(0, 1.0), Duration::from_secs(6));
    expect_that!(repeated_share(&fleet), lt(0.1));
    expect_that!(share(&outcomes, |o| o.refused), lt(0.2));
    expect_that!(share(&outcomes, |o| o.late), lt(0.1));
}

/// A quarter of all requests is about one subject: two homes would refuse most of them while others
/// idle.
#[googletest::test]
fn a_subject_in_high_demand_gets_more_homes() {
    let mut fleet = warm_fleet();
    let mut setup = fleet.setup();
    setup.prompt = prompt_about_a_hot_subject;
    fleet.set_up(setup);
    fleet.simulate(&loads(0, 1.0), Duration::from_secs(3));
    let (outcomes, _) = fleet.simulate(&loads(0, 1.0), Duration::from_secs(6));
    expect_that!(share(&outcomes, |o| o.refused), lt(0.2));
    expect_that!(repeated_share(&fleet), lt(0.1));
}

/// Engines that copy cached prompts at the speed of their link, 18 KB a token over 370 Gbit/s.
const COPY_RATE: CopyRate = CopyRate {
    tokens_per_ms: 2_500.0,
};

/// Six accounts send six times their usual, to engines that copy cached prompts from each other. The
/// second home of a subject, and a home that has displaced it, then prefill nothing again.
#[googletest::test]
fn engines_copy_shared_segments_that_others_have_cached() {
    let mut fleet = fleet();
    let mut setup = fleet.setup();
    setup.copy_rate = Some(COPY_RATE);
    fleet.set_up(setup);
    fleet.simulate(&loads(0, 1.0), Duration::from_secs(10));
    let (outcomes, _) = fleet.simulate(&loads(6, 6.0), Duration::from_secs(6));
    let others = &outcomes[6..];
    expect_that!(repeated_share(&fleet), lt(0.02));
    expect_that!(share(others, |o| o.refused), lt(0.1));
    expect_that!(share(others, |o| o.late), lt(0.1));
}
