//! Requests that crash upstreams, beside requests that do not.

use std::time::Duration;

use coltsfootnotch_decide::crash::{
    ContentDigest, CrashTracker, Cursor, IsolationSlot, Origin, RunPolicy, SuspectKey,
    max_upstreams_lost,
};
use coltsfootnotch_types::{AccountName, HostName, Incarnation, UpstreamName};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn key(n: u8) -> SuspectKey {
    let account = AccountName::new("bistro").expect("a valid name");
    SuspectKey {
        account,
        content: ContentDigest([n; 32]),
    }
}

fn tracker(host: &str) -> CrashTracker {
    let host = HostName::new(host).expect("a valid name");
    CrashTracker::new(Origin::new(host, Incarnation(1)))
}

fn upstream(n: usize) -> UpstreamName {
    UpstreamName::new(format!("u{n}")).expect("a valid name")
}

fn exchange_deltas(trackers: &mut [CrashTracker], now: Duration) {
    for from in 0..trackers.len() {
        let delta = trackers[from].delta_since(Cursor::default(), now);
        trackers.iter_mut().for_each(|t| t.merge(&delta, now));
    }
}

#[gtest]
fn of_thirty_requests_in_flight_only_the_cause_is_refused() {
    // Request 0 crashes an engine with 30 requests in flight, which all become suspects. It crashes
    // a second upstream, beside requests that are not suspect, and is the only one refused.
    let mut tracker = tracker("sidecar");
    let now = Duration::from_secs(1);
    tracker.on_crash(&upstream(0), (0..30).map(key), now);
    for n in 0..30 {
        expect_that!(tracker.run_policy(&key(n), now), eq(RunPolicy::Isolated));
    }
    for n in 10..30 {
        tracker.on_success(&key(n));
    }
    tracker.on_crash(&upstream(1), [key(0), key(100), key(101)], now);
    let refused = RunPolicy::Refused {
        retry_after: Duration::from_secs(600),
    };
    expect_that!(tracker.run_policy(&key(0), now), eq(refused));
    for n in (1..30).chain([100, 101]) {
        expect_that!(
            tracker.run_policy(&key(n), now),
            eq(RunPolicy::Unrestricted)
        );
    }
    expect_that!(
        tracker.run_policy(&key(0), now + Duration::from_secs(601)),
        eq(RunPolicy::Unrestricted)
    );
}

#[gtest]
fn an_upstream_runs_one_suspect_at_a_time() {
    let mut slot = IsolationSlot::new();
    expect_that!(slot.try_acquire(&key(1)), eq(true));
    expect_that!(slot.try_acquire(&key(2)), eq(false));
    slot.release(&key(2));
    expect_that!(slot.is_free(), eq(false));
    slot.release(&key(1));
    expect_that!(slot.try_acquire(&key(2)), eq(true));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A crashing request is resent through every entry while reports are delayed. It crashes no
    /// more upstreams than the bound, and no other request stays restricted on any host.
    #[test]
    fn a_resent_request_crashes_a_bounded_number_of_upstreams(
        copies in 1usize..5,
        others in proptest::collection::vec(1u8..60, 0..30),
        resends in 1usize..40,
    ) {
        let bad = key(0);
        let mut trackers: Vec<_> = (0..5).map(|i| tracker(&format!("s{i}"))).collect();
        let mut lost = 0;
        let mut now = Duration::from_secs(1);
        for (copy, tracker) in trackers.iter_mut().enumerate().take(copies) {
            let share = others.iter().skip(copy).step_by(copies);
            let in_flight = share.map(|n| key(*n)).chain([bad.clone()]);
            tracker.on_crash(&upstream(lost), in_flight, now);
            lost += 1;
        }
        exchange_deltas(&mut trackers, now);
        for resend in 0..resends {
            now += Duration::from_secs(5);
            let host = resend % trackers.len();
            if !matches!(trackers[host].run_policy(&bad, now), RunPolicy::Refused { .. }) {
                let fresh = (0..3u8).map(|n| key(100 + n));
                trackers[host].on_crash(&upstream(lost), fresh.chain([bad.clone()]), now);
                lost += 1;
                exchange_deltas(&mut trackers, now);
            }
        }
        let bound = max_upstreams_lost(copies as u32) as usize;
        prop_assert!(lost <= bound, "{lost} lost, bound {bound}");
        for n in others.iter().chain(&[100, 101, 102]) {
            let policies: Vec<_> = trackers.iter().map(|t| t.run_policy(&key(*n), now)).collect();
            prop_assert!(policies.iter().all(|p| *p == RunPolicy::Unrestricted), "{policies:?}");
        }
    }
}
