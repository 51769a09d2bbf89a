//! Routing: bounded affinity, request order and health.

use std::fmt::Write;
use std::time::Duration;

use coltsfootnotch_decide::route::{
    Candidate, HealthEvent, PrefixKey, PrefixMap, Proximity, UpstreamHealth, WaitingRequest,
    choose_request, choose_upstream, usable_slots,
};
use coltsfootnotch_types::UpstreamName;
use googletest::prelude::*;

const PREFIX: PrefixKey = PrefixKey(7);

fn upstreams(count: usize) -> Vec<UpstreamName> {
    let name = |i| UpstreamName::new(format!("u{i}")).expect("a valid name");
    (0..count).map(name).collect()
}

fn candidates<'a>(names: &'a [UpstreamName], in_flight: &[u32]) -> Vec<Candidate<'a>> {
    let of = |(upstream, in_flight): (&'a UpstreamName, &u32)| Candidate {
        upstream,
        proximity: Proximity::Domain,
        usable: 8,
        in_flight: *in_flight,
    };
    names.iter().zip(in_flight).map(of).collect()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[gtest]
fn a_popular_prefix_spreads_over_the_upstreams() {
    // All requests share one prefix. An upstream that has it cached is preferred up to 1.25 times
    // the mean load, and all slots are used in the end.
    let names = upstreams(4);
    let (mut in_flight, mut map) = (vec![0; 4], PrefixMap::new());
    let mut text = String::new();
    for _ in 0..32 {
        let chosen = choose_upstream(
            &candidates(&names, &in_flight),
            Some(PREFIX),
            &[],
            &map,
            at(0),
        );
        let chosen = chosen.expect("a slot is free");
        in_flight[chosen] += 1;
        map.on_cached(PREFIX, &names[chosen], at(0));
        writeln!(text, "{in_flight:?}").expect("writing to a string succeeds");
    }
    expect_that!(
        choose_upstream(
            &candidates(&names, &in_flight),
            Some(PREFIX),
            &[],
            &map,
            at(0)
        ),
        none()
    );
    insta::assert_snapshot!(text);
}

#[gtest]
fn without_cache_events_a_prefix_still_goes_to_the_same_upstream() {
    let names = upstreams(20);
    let in_flight = vec![0; 20];
    let choose = |map: &PrefixMap| {
        choose_upstream(
            &candidates(&names, &in_flight),
            Some(PREFIX),
            &[],
            map,
            at(0),
        )
    };
    expect_that!(choose(&PrefixMap::new()), eq(choose(&PrefixMap::new())));
    let distinct = (0..100).map(|p| {
        let map = PrefixMap::new();
        choose_upstream(
            &candidates(&names, &in_flight),
            Some(PrefixKey(p)),
            &[],
            &map,
            at(0),
        )
    });
    let distinct: std::collections::BTreeSet<_> = distinct.collect();
    expect_that!(distinct.len(), ge(15));
}

#[gtest]
fn a_late_eviction_does_not_undo_a_later_use() {
    let names = upstreams(1);
    let mut map = PrefixMap::new();
    map.on_cached(PREFIX, &names[0], at(500));
    map.on_evicted(PREFIX, &names[0], at(400));
    expect_that!(map.is_cached(PREFIX, &names[0], at(600)), eq(true));
    map.on_evicted(PREFIX, &names[0], at(550));
    expect_that!(map.is_cached(PREFIX, &names[0], at(600)), eq(false));
}

#[gtest]
fn a_retry_avoids_the_upstreams_that_failed() {
    let names = upstreams(2);
    let free = candidates(&names, &[0, 5]);
    let map = PrefixMap::new();
    expect_that!(
        choose_upstream(&free, None, &names[..1], &map, at(0)),
        some(eq(1))
    );
    expect_that!(choose_upstream(&free, None, &names, &map, at(0)), none());
}

#[gtest]
fn the_oldest_request_is_skipped_at_most_four_times() {
    // Younger requests with a cached prefix must not starve the oldest one.
    let names = upstreams(1);
    let mut map = PrefixMap::new();
    map.on_cached(PREFIX, &names[0], at(0));
    let req = |prefix, skipped| WaitingRequest {
        prefix: Some(prefix),
        skipped,
        avoid: &[],
    };
    let choose = |skipped| {
        let waiting = [req(PrefixKey(1), skipped), req(PREFIX, 0)];
        choose_request(waiting, &names[0], &map, at(0))
    };
    expect_that!(choose(3), some(eq(1)));
    expect_that!(choose(4), some(eq(0)));
}

#[gtest]
fn missing_heartbeats_stop_new_requests_within_three_seconds_and_draining_at_once() {
    // With one heartbeat per second, one lost heartbeat lowers the share and two stop new requests.
    let mut health = UpstreamHealth::new(at(0));
    for ms in (0..60_000).step_by(1_000) {
        health.on_event(HealthEvent::Heartbeat, at(ms));
    }
    let last = 59_000;
    expect_that!(health.share(at(last + 1_400)), eq(1.0));
    expect_that!(health.share(at(last + 2_100)), near(0.54, 0.01));
    expect_that!(health.share(at(last + 2_800)), eq(0.0));
    health.on_event(HealthEvent::Heartbeat, at(last + 2_100));
    expect_that!(health.share(at(last + 2_100)), eq(1.0));
    health.on_event(HealthEvent::Leaving, at(last + 2_200));
    expect_that!(usable_slots(32, health.share(at(last + 2_200))), eq(0));
}

#[gtest]
fn a_flapping_upstream_ramps_up_more_slowly_each_time() {
    // Repeatedly up for 20 s and down for 5 s. Each line has the usable slots of 32 at four times
    // after the return.
    let mut health = UpstreamHealth::new(at(0));
    let mut text = String::from("after 1 s, 5 s, 10 s, 19 s\n");
    for flap in 0..6u64 {
        let back = flap * 25_000;
        let mut slots = Vec::new();
        for ms in (0..20_000).step_by(500) {
            health.on_event(HealthEvent::Heartbeat, at(back + ms));
            if [1_000, 5_000, 10_000, 19_000].contains(&ms) {
                slots.push(usable_slots(32, health.share(at(back + ms))));
            }
        }
        writeln!(text, "{slots:?}").expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(text);
}

#[gtest]
fn a_slow_upstream_loses_and_regains_its_share_gradually() {
    let mut health = UpstreamHealth::new(at(0));
    for ms in (0..20_000).step_by(500) {
        health.on_event(HealthEvent::Heartbeat, at(ms));
    }
    let mut text = String::new();
    for (ratio, ms) in [(4.0, 20_000), (4.0, 21_000), (1.0, 22_000), (1.0, 23_000)] {
        for _ in 0..10 {
            health.on_event(HealthEvent::Heartbeat, at(ms));
            health.on_event(HealthEvent::Latency(ratio), at(ms));
        }
        let share = health.share(at(ms + 100));
        writeln!(
            text,
            "{ratio} times as slow: {} of 32 slots",
            usable_slots(32, share)
        )
        .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(text);
}
