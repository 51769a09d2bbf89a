//! Exchange of load between entries.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{FleetLoad, PromptSegment, SentRequest, UpstreamLoads};
use coltsfootnotch_wire::EntryLoadReport;
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

fn sent(tokens: u64) -> SentRequest {
    SentRequest {
        uncached_tokens: tokens,
        held_tokens: tokens,
        expected_ms: 100.0,
        at: NOW,
    }
}

fn report(loads: &mut UpstreamLoads) -> EntryLoadReport {
    let (upstreams, segments) = loads.report();
    EntryLoadReport {
        upstreams,
        segments,
        ..EntryLoadReport::default()
    }
}

fn excluding<K: Eq + std::hash::Hash>(
    fleet: &FleetLoad<K>,
    now: Duration,
    key: &K,
) -> EntryLoadReport {
    fleet.excluding(now, &fleet.totals(now), key)
}

#[googletest::test]
fn an_entry_receives_the_load_of_the_others_only() {
    let id: Arc<str> = "spec-1".into();
    let mut fleet = FleetLoad::default();
    for entry in 0..3_u32 {
        let mut loads = UpstreamLoads::default();
        loads.entry(&id, 1).on_sent(&sent(100));
        fleet.record(NOW, entry, report(&mut loads));
    }
    let received = excluding(&fleet, NOW, &1);
    expect_that!(received.upstreams[0].running, eq(2));
    expect_that!(received.upstreams[0].waiting_tokens, eq(200));
    expect_that!(fleet.entries(NOW), eq(3));
    expect_that!(
        excluding(&fleet, NOW + Duration::from_secs(3), &1).upstreams,
        is_empty()
    );
}

#[googletest::test]
fn counters_are_sent_once_and_running_requests_again() {
    let id: Arc<str> = "spec-1".into();
    let mut loads = UpstreamLoads::default();
    loads.entry(&id, 1).on_sent(&sent(100));
    loads.entry(&id, 1).on_failed(NOW);
    loads.record_segments(NOW, &id, &[PromptSegment { id: 9, tokens: 50 }], 1_000);
    let mut fleet = FleetLoad::default();
    fleet.record(NOW, "a", report(&mut loads));
    let first = excluding(&fleet, NOW, &"b");
    expect_that!(
        (first.upstreams[0].failed, first.segments.len()),
        eq((1, 1))
    );
    fleet.start_period(NOW);
    let second = excluding(&fleet, NOW, &"b");
    expect_that!(
        (second.upstreams[0].failed, second.segments.len()),
        eq((0, 0))
    );
    expect_that!(second.upstreams[0].running, eq(1));
}

/// A request sent to an earlier run of an engine does not count for a later one, and its end is not
/// subtracted twice.
#[googletest::test]
fn a_later_run_starts_without_load() {
    let id: Arc<str> = "spec-1".into();
    let mut loads = UpstreamLoads::default();
    loads.entry(&id, 1).on_sent(&sent(100));
    expect_that!(loads.entry(&id, 2).in_flight().running, eq(0));
    expect_that!(loads.get_mut(&id, 1).is_some(), eq(false));
}
