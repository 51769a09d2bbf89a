//! Numbers of other hosts and upstreams, up to the greatest, in the sums of an entry and a control host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{
    FleetLoad, OwnReports, SentRequest, UpstreamLoad, UpstreamLoads, reporting_period,
};
use coltsfootnotch_forward::place::{
    Candidate, PlacementRequest, PrefillRate, Prompt, RefusalReason, place_engine, place_plain,
};
use coltsfootnotch_forward::retry::{RetryBudget, RetryLimit};
use coltsfootnotch_forward::share::FairShares;
use coltsfootnotch_wire::{
    AccountDemand, EarlierRun, EntryLoadReport, RetryBucket, RetryHistory, SegmentRecord,
    ServiceRetries, UpstreamUsage,
};
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::{Strategy as Generator, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};

const NOW: Duration = Duration::from_secs(1);

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    }
}

/// Numbers with the extremes, and ordinary ones.
fn any_u64() -> impl Generator<Value = u64> {
    prop_oneof![0..3_000_u64, any::<u64>(), u64::MAX - 3_000..=u64::MAX]
}

fn any_u32() -> impl Generator<Value = u32> {
    prop_oneof![0..3_000_u32, any::<u32>(), u32::MAX - 3_000..=u32::MAX]
}

fn any_usage() -> impl Generator<Value = UpstreamUsage> {
    let counts = (any_u32(), any_u32(), any_u32());
    let tokens = (any_u64(), any_u64(), any_u64(), any_u64());
    (counts, tokens).prop_map(|(counts, tokens)| UpstreamUsage {
        id: "spec-1".to_owned(),
        running: counts.0,
        failed: counts.1,
        succeeded: counts.2,
        waiting_tokens: tokens.0,
        held_tokens: tokens.1,
        elapsed_ms: tokens.2,
        expected_ms: tokens.3,
    })
}

fn any_report() -> impl Generator<Value = EntryLoadReport> {
    (any_usage(), any_u64(), any_u64(), any_u64(), any_u32()).prop_map(
        |(usage, requested, admitted, segment, tokens)| EntryLoadReport {
            upstreams: vec![usage],
            accounts: vec![AccountDemand {
                account: "bistro".to_owned(),
                requested,
                admitted,
            }],
            segments: vec![SegmentRecord {
                upstream: "spec-1".to_owned(),
                segment,
                tokens,
            }],
            ..EntryLoadReport::default()
        },
    )
}

/// What happens at an entry to the load of an upstream.
#[derive(Debug, Clone)]
enum Step {
    Send(u32, u32),
    Begin,
    Finish,
    Report,
    Remote(Box<EntryLoadReport>),
}

fn any_step() -> impl Generator<Value = Step> {
    prop_oneof![
        (any_u32(), any_u32()).prop_map(|(tokens, output)| Step::Send(tokens, output)),
        (0..1_u8).prop_map(|_| Step::Begin),
        (0..1_u8).prop_map(|_| Step::Finish),
        (0..1_u8).prop_map(|_| Step::Report),
        any_report().prop_map(|report| Step::Remote(Box::new(report))),
    ]
}

fn request(prompt: &Prompt) -> PlacementRequest<'_> {
    PlacementRequest {
        prompt,
        pressure: None,
        fair_fraction: 1.0,
        shortest_target: Duration::from_millis(400),
        shortest_gap: Some(Duration::from_millis(300)),
        subject_per_s: 0.0,
        is_resumed: false,
        copy_rate: None,
        domain: "colombo",
        tie_breaker: 1,
        avoid: &[],
    }
}

fn candidate<'a>(id: &'a Arc<str>, slots: u32, load: &'a UpstreamLoad) -> Candidate<'a> {
    Candidate {
        id,
        domain: "colombo",
        slots,
        memory_tokens: u64::MAX,
        load,
    }
}

const RATE: PrefillRate = PrefillRate {
    tokens_per_ms: 1.0,
    base_ms: 35.0,
};

/// Applies steps at one entry; no sum may fall below its parts, and placement gives a result at each of them.
fn apply_steps(steps: &[Step], slots: u32) {
    let id: Arc<str> = "spec-1".into();
    let mut loads = UpstreamLoads::default();
    let mut shares = FairShares::default();
    loads.entry(&id, 1);
    // Requests, each with whether it has begun.
    let mut sent: Vec<(SentRequest, bool)> = Vec::new();
    for step in steps {
        let load = loads.entry(&id, 1);
        match step {
            Step::Send(tokens, output) => {
                let held_tokens = u64::from(*tokens) + u64::from(*output);
                let request = SentRequest {
                    uncached_tokens: u64::from(*tokens),
                    held_tokens,
                    expected_ms: f64::from(*tokens),
                    at: NOW,
                };
                load.on_sent(&request);
                sent.push((request, false));
            }
            Step::Begin => {
                if let Some((request, has_begun)) = sent.iter_mut().find(|(_, begun)| !begun) {
                    load.on_first_event(NOW * 2, request);
                    *has_begun = true;
                }
            }
            Step::Finish => {
                if let Some((request, has_begun)) = sent.pop() {
                    load.on_finished(&request, has_begun);
                    load.on_succeeded(NOW);
                }
            }
            Step::Report => drop(loads.report()),
            Step::Remote(report) => {
                loads.apply_remote(NOW, report, |_| 120_000);
                shares.apply_remote(NOW, report);
                let _level = shares
                    .pressure(NOW, "bistro")
                    .map(FairShares::recovery_time);
            }
        }
        let load = loads.get(&id, 1).unwrap();
        let (all, local) = (load.in_flight(), load.local_in_flight());
        assert!(
            all.waiting_tokens >= local.waiting_tokens,
            "a sum is not below its parts"
        );
        assert!(
            all.held_tokens >= local.held_tokens,
            "a sum is not below its parts"
        );
        assert!(all.running >= local.running, "a sum is not below its parts");
        let prompt = Prompt {
            tokens: 543,
            output_tokens: u32::MAX,
            shared: Vec::new(),
        };
        let _placed = place_engine(NOW, &request(&prompt), RATE, [candidate(&id, slots, load)]);
        let _placed = place_plain(NOW, "colombo", &[], 1, [candidate(&id, slots, load)]);
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a number of another entry, or of an upstream's slots, that wraps or ends the actor of all
    /// requests.
    #[test]
    fn no_numbers_end_an_entry(steps in vec(any_step(), 1..40), slots in any_u32()) {
        apply_steps(&steps, slots);
    }

    /// Guards against a number of an entry that wraps or ends the control host that sums the reports.
    #[test]
    fn no_numbers_end_a_control_host(
        reports in vec((0..4_u32, any_u32(), any_report()), 1..12),
        included in any_u64(),
    ) {
        let mut fleet = FleetLoad::default();
        let mut own = OwnReports::default();
        let mut waiting = BTreeMap::new();
        for (sender, entries, report) in reports {
            waiting.insert(sender, report.upstreams[0].waiting_tokens);
            own.record(NOW, &report);
            fleet.record(NOW, sender, entries, report);
        }
        let mut last_parts = FleetLoad::default();
        let totals = fleet.take_totals(NOW);
        let sum = totals.upstreams[0].waiting_tokens;
        assert!(waiting.values().all(|part| sum >= *part), "a sum is not below its parts");
        last_parts.record(NOW, 0, fleet.entries(NOW), totals.clone());
        last_parts.record(NOW, 1, u32::MAX, totals.clone());
        assert!(last_parts.entries(NOW) >= fleet.entries(NOW), "a sum is not below its parts");
        let _all = last_parts.take_totals(NOW);
        let _others = own.subtract(included, totals);
    }
}

/// Guards against an upstream whose stated slots wrap the limit on its queue, so that it seems to be full.
#[googletest::test]
fn an_upstream_with_any_number_of_slots_is_used() {
    let id: Arc<str> = "desk-1".into();
    let mut loads = UpstreamLoads::default();
    let load = loads.entry(&id, 1);
    for _ in 0..3 {
        load.on_sent(&SentRequest {
            uncached_tokens: 0,
            held_tokens: 0,
            expected_ms: 50.0,
            at: NOW,
        });
    }
    let place = |slots| place_plain(NOW, "colombo", &[], 1, [candidate(&id, slots, load)]);
    expect_that!(place(u32::MAX).is_ok(), eq(true));
    expect_that!(place(1_431_655_766).is_ok(), eq(true));
    expect_that!(place(0).unwrap_err().reason, eq(RefusalReason::Saturated));
}

/// Guards against a control host that tells of as many retries as can be counted, which wrapped to none.
#[googletest::test]
fn any_number_of_earlier_retries_is_counted() {
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 120.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::succeeding(limit, NOW);
    let bucket = RetryBucket {
        age_ms: 0,
        requests: u32::MAX,
        retries: u32::MAX,
    };
    let services = vec![ServiceRetries {
        service: "spec".to_owned(),
        buckets: vec![bucket, bucket],
    }];
    let history = RetryHistory {
        runs: vec![EarlierRun {
            run: 1,
            number: 1,
            is_last: true,
            services,
        }],
        known_for_ms: u32::MAX,
        control_hosts: 1,
        entries: 1,
        refused: Vec::new(),
    };
    budget.on_history(NOW, "control-1", &history);
    expect_that!(budget.try_acquire(NOW, "spec", Some(1)), eq(false));
}

/// Guards against a number of entries by which they report no load for weeks.
#[googletest::test]
fn entries_report_within_seconds_whatever_their_number() {
    expect_that!(reporting_period(u32::MAX), le(Duration::from_secs(30)));
}
