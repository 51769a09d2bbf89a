//! Randomised heartbeats at one registry: lost, copied, delayed and reordered, from two runs of one
//! host.

use std::time::Duration;

use coltsfootnotch_membership::{Heartbeat, Presence, Registry, Timing};
use proptest::prelude::*;

use crate::support::{beat, host, millis, randomised, relay};

const MAX_DELAY: u64 = 400;
const TICK: u64 = 250;

/// What becomes of one heartbeat: whether it is lost, its delay, and the delay of a copy.
type Fate = (bool, u64, Option<u64>);

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let copy = prop::option::weighted(0.2, 0..MAX_DELAY);
    let calm = prop::collection::vec((Just(false), 0..MAX_DELAY, copy.clone()), 1..20);
    let storm = prop::collection::vec((prop::bool::weighted(0.7), 0..MAX_DELAY, copy), 1..20);
    prop::collection::vec(prop_oneof![calm, storm], 1..6).prop_map(|parts| parts.concat())
}

/// Arrivals of one run's heartbeats, sent each 500 ms from `start` on.
fn arrivals(run: u64, start: u64, fates: &[Fate]) -> Vec<(u64, Heartbeat)> {
    let mut arrivals = Vec::new();
    for (seq, (is_lost, delay, copy)) in (1..).zip(fates) {
        let sent = start + seq * 500;
        if !is_lost {
            arrivals.push((sent + delay, beat("a", run, seq)));
        }
        arrivals.extend(copy.map(|delay| (sent + delay, beat("a", run, seq))));
    }
    arrivals
}

proptest! {
    #![proptest_config(randomised(512, 0x5e6)) ]

    /// The host is listed only while it was heard in the last 2.5 s and a tick, is listed
    /// after 30 s in which one run was heard each second, and once the later run was heard the earlier one never returns.
    #[test]
    fn randomised_heartbeats_list_whoever_is_heard(first in fates(), second in fates()) {
        let mut all = arrivals(1, 0, &first);
        let restart = 500 * first.len() as u64;
        all.extend(arrivals(2, restart, &second));
        all.sort_by_key(|(at, _)| *at);
        let end = restart + 500 * second.len() as u64 + 4_000;
        let mut registry = Registry::new(relay("control-0", 1), Timing::DEFAULT, Duration::ZERO);
        let (mut heard, mut steady_since, mut latest, mut run) = (None, 0, (0, 0), 0);
        let mut all = all.into_iter().peekable();
        for tick in (0..end).step_by(TICK as usize) {
            while let Some((at, hb)) = all.next_if(|(at, _)| *at <= tick) {
                registry.on_heartbeat(millis(at), &hb);
                let order = (hb.incarnation.0, hb.seq);
                if order > latest {
                    latest = order;
                    let gap = heard.map_or(u64::MAX, |h| at - h);
                    // A new run is a break as well: a host that restarts again and again is damped.
                    let is_break = gap > 1_000 || run != order.0;
                    steady_since = if is_break { at } else { steady_since };
                    run = order.0;
                    heard = Some(at);
                }
            }
            registry.tick(millis(tick));
            let record = registry.summary().get(&host("a"));
            let is_listed = record.is_some_and(|r| r.presence == Presence::Present);
            let silence = heard.map_or(u64::MAX, |h| tick - h);
            prop_assert!(!is_listed || silence < 2_500, "listed after {silence} ms of silence");
            let is_steady = silence <= 1_000 && tick - steady_since > 30_000;
            prop_assert!(is_listed || !is_steady, "not listed although heard");
            let listed = record.map_or(0, |r| r.incarnation.0);
            prop_assert!(listed == run, "run {listed} is listed after run {run}");
        }
    }
}
