//! Property test of the registry: heartbeats of two runs of one host that are lost, duplicated,
//! delayed and reordered.

use std::time::Duration;

use coltsfootnotch_membership::{Heartbeat, Presence, Registry, Timing};
use proptest::prelude::*;

use crate::support::{heartbeat, host, millis, randomised, relay};

const MAX_DELAY: u64 = 400;
const TICK: u64 = 250;

/// Delivery of one heartbeat: whether it is lost, its delay in ms, and the delay of a duplicate.
type Delivery = (bool, u64, Option<u64>);

fn deliveries() -> impl Strategy<Value = Vec<Delivery>> {
    let duplicate = prop::option::weighted(0.2, 0..MAX_DELAY);
    let reliable = prop::collection::vec((Just(false), 0..MAX_DELAY, duplicate.clone()), 1..20);
    let lossy = prop::collection::vec((prop::bool::weighted(0.7), 0..MAX_DELAY, duplicate), 1..20);
    prop::collection::vec(prop_oneof![reliable, lossy], 1..6).prop_map(|parts| parts.concat())
}

/// Arrivals of one run's heartbeats, sent every 500 ms after `start`, by time in ms.
fn arrivals(run: u64, start: u64, deliveries: &[Delivery]) -> Vec<(u64, Heartbeat)> {
    let mut arrivals = Vec::new();
    for (seq, (is_lost, delay, duplicate)) in (1..).zip(deliveries) {
        let sent = start + seq * 500;
        if !is_lost {
            arrivals.push((sent + delay, heartbeat("a", run, seq)));
        }
        arrivals.extend(duplicate.map(|delay| (sent + delay, heartbeat("a", run, seq))));
    }
    arrivals
}

proptest! {
    #![proptest_config(randomised(512, 0x5e6)) ]

    /// The host is listed only if a heartbeat arrived in the last 2.5 s, is always listed after 30
    /// s of heartbeats of one run without a gap above a second, and is never listed under the
    /// earlier run after a heartbeat of the later one.
    #[test]
    fn randomised_heartbeats_determine_the_listing(first in deliveries(), second in deliveries()) {
        let mut all = arrivals(1, 0, &first);
        let restart = 500 * first.len() as u64;
        all.extend(arrivals(2, restart, &second));
        all.sort_by_key(|(at, _)| *at);
        let end = restart + 500 * second.len() as u64 + 4_000;
        let mut registry = Registry::new(relay("control-0", 1), Timing::DEFAULT, Duration::ZERO);
        let (mut last_heartbeat, mut steady_since, mut latest, mut run) = (None, 0, (0, 0), 0);
        let mut all = all.into_iter().peekable();
        for tick in (0..end).step_by(TICK as usize) {
            while let Some((at, hb)) = all.next_if(|(at, _)| *at <= tick) {
                registry.on_heartbeat(millis(at), &hb);
                let order = (hb.incarnation.0, hb.seq);
                if order > latest {
                    latest = order;
                    let gap = last_heartbeat.map_or(u64::MAX, |h| at - h);
                    // A new run is a break as well: a host that restarts repeatedly is damped.
                    let is_break = gap > 1_000 || run != order.0;
                    steady_since = if is_break { at } else { steady_since };
                    run = order.0;
                    last_heartbeat = Some(at);
                }
            }
            registry.tick(millis(tick));
            let record = registry.summary().get(&host("a"));
            let is_listed = record.is_some_and(|r| r.presence == Presence::Present);
            let silence = last_heartbeat.map_or(u64::MAX, |h| tick - h);
            prop_assert!(!is_listed || silence < 2_500, "listed after {silence} ms of silence");
            let is_steady = silence <= 1_000 && tick - steady_since > 30_000;
            prop_assert!(is_listed || !is_steady, "not listed despite steady heartbeats");
            let listed = record.map_or(0, |r| r.incarnation.0);
            prop_assert!(listed == run, "run {listed} is listed after a heartbeat of run {run}");
        }
    }
}
