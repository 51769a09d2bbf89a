//! Requests that crash upstreams, beside requests that do not.

use std::time::Duration;

use coltsfootnotch_decide::crash::{
    ApartSlot, ContentDigest, CrashWatch, Cursor, Origin, SuspectKey, Verdict, max_upstreams_lost,
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

fn watch(host: &str) -> CrashWatch {
    let host = HostName::new(host).expect("a valid name");
    CrashWatch::new(Origin::new(host, Incarnation(1)))
}

fn upstream(n: usize) -> UpstreamName {
    UpstreamName::new(format!("u{n}")).expect("a valid name")
}

fn exchange_deltas(watches: &mut [CrashWatch], now: Duration) {
    for from in 0..watches.len() {
        let delta = watches[from].delta_since(Cursor::default(), now);
        watches.iter_mut().for_each(|w| w.merge(&delta, now));
    }
}

#[gtest]
fn of_thirty_requests_in_flight_only_the_cause_is_refused() {
    // Request 0 crashes an engine with 30 requests in flight, which all become suspects. It crashes
    // a second upstream, beside requests that are not suspect, and is the only one refused.
    let mut watch = watch("sidecar");
    let now = Duration::from_secs(1);
    watch.on_crash(&upstream(0), (0..30).map(key), now);
    for n in 0..30 {
        expect_that!(watch.verdict(&key(n), now), eq(Verdict::Apart));
    }
    for n in 10..30 {
        watch.on_ended_well(&key(n));
    }
    watch.on_crash(&upstream(1), [key(0), key(100), key(101)], now);
    let refused = Verdict::Refused {
        retry_after: Duration::from_secs(600),
    };
    expect_that!(watch.verdict(&key(0), now), eq(refused));
    for n in (1..30).chain([100, 101]) {
        expect_that!(watch.verdict(&key(n), now), eq(Verdict::Free));
    }
    expect_that!(
        watch.verdict(&key(0), now + Duration::from_secs(601)),
        eq(Verdict::Free)
    );
}

#[gtest]
fn an_upstream_runs_one_suspect_at_a_time() {
    let mut slot = ApartSlot::new();
    expect_that!(slot.enter(&key(1)), eq(true));
    expect_that!(slot.enter(&key(2)), eq(false));
    slot.leave(&key(2));
    expect_that!(slot.is_free(), eq(false));
    slot.leave(&key(1));
    expect_that!(slot.enter(&key(2)), eq(true));
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
        let mut watches: Vec<_> = (0..5).map(|i| watch(&format!("s{i}"))).collect();
        let mut lost = 0;
        let mut now = Duration::from_secs(1);
        for (copy, watch) in watches.iter_mut().enumerate().take(copies) {
            let share = others.iter().skip(copy).step_by(copies);
            let in_flight = share.map(
|n| key(*n)).chain([bad.clone()]);
            watch.on_crash(&upstream(lost), in_flight, now);
            lost += 1;
        }
        exchange_deltas(&mut watches, now);
        for resend in 0..resends {
            now += Duration::from_secs(5);
            let host = resend % watches.len();
            if !matches!(watches[host].verdict(&bad, now), Verdict::Refused { .. }) {
                let fresh = (0..3u8).map(|n| key(100 + n));
                watches[host].on_crash(&upstream(lost), fresh.chain([bad.clone()]), now);
                lost += 1;
                exchange_deltas(&mut watches, now);
            }
        }
        let bound = max_upstreams_lost(copies as u32) as usize;
        prop_assert!(lost <= bound, "{lost} lost, bound {bound}");
        for n in others.iter().chain(&[100, 101, 102]) {
            let verdicts: Vec<_> = watches.iter().map(|w| w.verdict(&key(*n), now)).collect();
            prop_assert!(verdicts.iter().all(|v| *v == Verdict::Free), "{verdicts:?}");
        }
    }
}
