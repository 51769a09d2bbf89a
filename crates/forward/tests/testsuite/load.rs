//! Exchange of load between entries.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{
    FleetLoad, LoadDecoder, LoadEncoder, OwnReports, PromptSegment, SentRequest, UpstreamLoads,
};
use coltsfootnotch_wire::{EntryLoadReport, LoadChanges, UpstreamUsage};
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

fn usage(id: usize, running: u32) -> UpstreamUsage {
    UpstreamUsage {
        id: format!("spec-{id}"),
        running,
        ..UpstreamUsage::default()
    }
}

fn load(upstreams: Vec<UpstreamUsage>) -> EntryLoadReport {
    EntryLoadReport {
        upstreams,
        ..EntryLoadReport::default()
    }
}

fn encoded_bytes(changes: &LoadChanges) -> usize {
    coltsfootnotch_wire::encode(changes).unwrap().len()
}

#[googletest::test]
fn an_entry_receives_the_load_of_the_others_only() {
    let id: Arc<str> = "spec-1".into();
    let mut fleet = FleetLoad::default();
    let mut own = OwnReports::default();
    let mut number = 0;
    for entry in 0..3_u32 {
        let mut loads = UpstreamLoads::default();
        loads.entry(&id, 1).on_sent(&sent(100));
        let report = report(&mut loads);
        if entry == 1 {
            number = own.record(NOW, &report);
        }
        fleet.record(NOW, entry, 1, report);
    }
    let received = own.subtract(number, fleet.take_totals(NOW));
    expect_that!(received.upstreams[0].running, eq(2));
    expect_that!(received.upstreams[0].waiting_tokens, eq(200));
    expect_that!(fleet.entries(NOW), eq(3));
    let later = NOW + Duration::from_secs(3);
    expect_that!(fleet.take_totals(later).upstreams, is_empty());
}

#[googletest::test]
fn counters_are_sent_once_and_running_requests_again() {
    let id: Arc<str> = "spec-1".into();
    let mut loads = UpstreamLoads::default();
    loads.entry(&id, 1).on_sent(&sent(100));
    loads.entry(&id, 1).on_failed(NOW);
    loads.record_segments(NOW, &id, &[PromptSegment { id: 9, tokens: 50 }], 1_000);
    let mut fleet = FleetLoad::default();
    fleet.record(NOW, "a", 1, report(&mut loads));
    let first = fleet.take_totals(NOW);
    expect_that!(
        (first.upstreams[0].failed, first.segments.len()),
        eq((1, 1))
    );
    let second = fleet.take_totals(NOW);
    expect_that!(
        (second.upstreams[0].failed, second.segments.len()),
        eq((0, 0))
    );
    expect_that!(second.upstreams[0].running, eq(1));
}

/// Guards against own requests that an entry counts twice, or subtracts from totals that don't have them yet.
#[googletest::test]
fn an_entry_subtracts_the_reports_that_the_totals_include() {
    let mut own = OwnReports::default();
    let first = own.record(NOW, &load(vec![usage(1, 2)]));
    let second = own.record(NOW, &load(vec![usage(1, 5)]));
    let others = |own: &mut OwnReports, included, running| {
        let others = own.subtract(included, load(vec![usage(1, running)]));
        others.upstreams.first().map_or(0, |used| used.running)
    };
    expect_that!(others(&mut own, 0, 10), eq(10), "none is included yet");
    expect_that!(others(&mut own, first, 12), eq(10));
    expect_that!(others(&mut own, first, 12), eq(10), "the same as before");
    expect_that!(others(&mut own, second, 15), eq(10));
    expect_that!(others(&mut own, 0, 10), eq(10), "of another control host");
}

/// Guards against rows that a receiver keeps after they have ended, and against one that joins later and lacks
/// those that don't change.
#[googletest::test]
fn changes_restore_the_totals() {
    let mut encoder = LoadEncoder::default();
    let (mut early, mut late) = (LoadDecoder::default(), LoadDecoder::default());
    let rounds = [
        load(vec![usage(1, 2), usage(2, 1)]),
        load(vec![usage(1, 3), usage(2, 1)]),
        load(vec![usage(2, 1)]),
        load(vec![usage(2, 1), usage(3, 7)]),
    ];
    for (n, totals) in rounds.iter().enumerate() {
        let changes = encoder.encode(totals);
        if n == 2 {
            expect_that!(
                late.apply(changes.clone()),
                none(),
                "it has not received all rows"
            );
            let whole = encoder.whole(&changes);
            expect_that!(late.apply(whole), some(eq(totals)));
        } else if n == 3 {
            expect_that!(late.apply(changes.clone()), some(eq(totals)));
        }
        expect_that!(early.apply(changes), some(eq(totals)));
    }
}

/// Guards against messages that grow with what is unchanged: idle or steady upstreams cost nothing, and a busy one a
/// few bytes.
#[googletest::test]
fn a_message_takes_bytes_for_changed_rows_only() {
    let rows = |upstreams: usize, first: u32| {
        let row = |n| usage(n, if n < 50 { first } else { 3 });
        load((0..upstreams).map(row).collect())
    };
    let bytes = [655, 1_310, 2_620].map(|upstreams| {
        let mut encoder = LoadEncoder::default();
        encoder.encode(&rows(upstreams, 1));
        encoded_bytes(&encoder.encode(&rows(upstreams, 2)))
    });
    expect_that!(bytes, each(eq(bytes[0])));
    expect_that!(bytes[0], le(50 * 12 + 32));
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
