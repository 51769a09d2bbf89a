//! Fair shares of the engines' service.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::share::FairShares;
use coltsfootnotch_wire::{AccountDemand, EntryLoadReport};
use googletest::prelude::*;
use proptest::prelude::{prop_assert, proptest};

const NOW: Duration = Duration::from_secs(1);

fn shares(used: &[(&str, u64, u64)]) -> FairShares {
    let mut shares = FairShares::default();
    for (account, requested, admitted) in used {
        let account: Arc<str> = (*account).into();
        shares.record_requested(NOW, &account, *requested);
        shares.record_admitted(NOW, &account, *admitted);
    }
    shares
}

#[googletest::test]
fn no_account_is_above_its_share_while_nothing_is_refused() {
    let mut shares = shares(&[("chain", 9_000, 9_000), ("bistro", 10, 10)]);
    expect_that!(shares.pressure(NOW, "chain"), none());
}

/// Of two floods, only the one that was admitted three times as much is above its share.
#[googletest::test]
fn two_floods_are_distinguished() {
    let mut shares = shares(&[("a", 9_000, 3_000), ("b", 3_000, 1_000), ("c", 100, 100)]);
    let (a, b, c) = (
        shares.pressure(NOW, "a").unwrap(),
        shares.pressure(NOW, "b").unwrap(),
        shares.pressure(NOW, "c").unwrap(),
    );
    expect_that!(a, gt(1.4));
    expect_that!(b, lt(0.6));
    expect_that!(c, lt(0.1));
}

#[googletest::test]
fn usage_at_other_entries_counts_and_is_not_reported_again() {
    let mut shares = shares(&[("a", 100, 50)]);
    let report = EntryLoadReport {
        accounts: vec![AccountDemand {
            account: "a".to_owned(),
            requested: 1_000,
            admitted: 900,
        }],
        ..EntryLoadReport::default()
    };
    shares.apply_remote(NOW, &report);
    let local = shares.report();
    expect_that!(local.len(), eq(1));
    expect_that!(local[0].requested, eq(100));
    expect_that!(shares.report(), is_empty());
    expect_that!(shares.pressure(NOW, "a"), some(gt(0.9)));
}

#[googletest::test]
fn a_flood_decays_soon_after_it_ends() {
    let mut shares = shares(&[("flood", 9_000, 3_000), ("small", 300, 300)]);
    expect_that!(shares.pressure(NOW, "flood"), some(gt(0.99)));
    let later = NOW + Duration::from_secs(8);
    shares.record_requested(later, &"small".into(), 300);
    shares.record_admitted(later, &"small".into(), 300);
    expect_that!(shares.pressure(later, "flood").unwrap_or(0.0), lt(0.3));
}

proptest! {
    /// An account with at most an even share of all that was served is never above its share.
    #[test]
    fn an_even_share_is_never_above_the_fair_share(
        used in proptest::collection::vec((0_u64..10_000, 0_u64..100), 1..20),
    ) {
        let names: Vec<String> = (0..used.len()).map(|n| format!("a{n}")).collect();
        let used: Vec<(&str, u64, u64)> = names
            .iter()
            .zip(&used)
            .map(|(name, (units, percent))| (name.as_str(), *units, units * percent / 100))
            .collect();
        let even = used.iter().map(|(_, _, got)| *got).sum::<u64>() as f64 / used.len() as f64;
        let mut shares = shares(&used);
        for (name, _, got) in &used {
            if (*got as f64) < even * 0.99 {
                prop_assert!(shares.pressure(NOW, name).unwrap_or(0.0) <= 1.0);
            }
        }
    }
}

/// Two accounts flood; then one of them sends its usual again while the other goes on. It was refused
/// for three more seconds, at half of its share, and got less than half of what the other got.
#[googletest::test]
fn an_account_is_served_again_when_its_flood_ends() {
    let (first, second): (Arc<str>, Arc<str>) = ("first".into(), "second".into());
    let mut shares = FairShares::default();
    shares.set_capacity(1_000_000.0);
    let at = Duration::from_millis;
    for ms in (0..3_000).step_by(50) {
        for account in [&first, &second] {
            shares.record_requested(at(ms), account, 100_000);
            shares.record_admitted(at(ms), account, 25_000);
        }
    }
    expect_that!(shares.fair_fraction(at(3_000), &first), lt(0.5));
    for ms in (3_000..4_000).step_by(50) {
        shares.record_requested(at(ms), &first, 5_000);
        shares.record_admitted(at(ms), &first, 1_000);
        shares.record_requested(at(ms), &second, 100_000);
        shares.record_admitted(at(ms), &second, 40_000);
    }
    expect_that!(shares.fair_fraction(at(4_000), &first), eq(1.0));
    expect_that!(shares.fair_fraction(at(4_000), &second), lt(0.5));
}

/// Size of the requests of the floods below.
const REQUEST_UNITS: u64 = 1_000;

/// Records requests of an account, a quarter of which is admitted.
fn flood(shares: &mut FairShares, now: Duration, account: &Arc<str>, requests: u64) {
    for n in 0..requests {
        shares.record_requested(now, account, REQUEST_UNITS);
        if n % 4 == 0 {
            shares.record_admitted(now, account, REQUEST_UNITS);
        }
    }
}

/// Guards against a new flood that gets several times its share until its demand over two seconds has grown.
#[googletest::test]
fn the_beginning_of_a_flood_is_noticed_within_a_quarter_of_a_second() {
    let (first, second): (Arc<str>, Arc<str>) = ("first".into(), "second".into());
    let mut shares = FairShares::default();
    shares.set_capacity(500_000.0);
    let at = Duration::from_millis;
    for ms in (0..3_250).step_by(50) {
        flood(&mut shares, at(ms), &first, 100);
        let requests = if ms < 3_000 { 4 } else { 100 };
        flood(&mut shares, at(ms), &second, requests);
    }
    // Of what it asks for now, its share is a quarter.
    expect_that!(shares.fair_fraction(at(3_250), &second), lt(0.5));
}

/// Guards against an account that is taken for a flood for one large request.
#[googletest::test]
fn a_large_request_is_no_flood() {
    let mut shares = FairShares::default();
    shares.set_capacity(100_000.0);
    let at = Duration::from_millis;
    // Each account gets one request in 200 ms, ten in the two seconds over which shares are counted.
    for ms in (0..3_000).step_by(200) {
        for n in 0..30 {
            flood(&mut shares, at(ms), &format!("flood-{n}").into(), 4);
        }
    }
    let small: Arc<str> = "small".into();
    shares.record_requested(at(3_000), &small, 7 * REQUEST_UNITS);
    expect_that!(shares.fair_fraction(at(3_000), &small), eq(1.0));
}

/// Guards against an account that stays refused for seconds for what it got while the engines were idle.
#[googletest::test]
fn usage_far_beyond_a_share_is_forgotten_within_a_second() {
    let (early, late): (Arc<str>, Arc<str>) = ("early".into(), "late".into());
    let mut shares = FairShares::default();
    shares.set_capacity(500_000.0);
    let at = Duration::from_millis;
    for ms in (0..3_000).step_by(50) {
        shares.record_requested(at(ms), &early, 50_000);
        shares.record_admitted(at(ms), &early, 50_000);
    }
    for ms in (3_000..4_000).step_by(50) {
        for account in [&early, &late] {
            shares.record_requested(at(ms), account, 100_000);
        }
        shares.record_admitted(at(ms), &late, 25_000);
        shares.pressure(at(ms), &late);
    }
    expect_that!(shares.pressure(at(4_000), &early), some(le(1.15)));
}
