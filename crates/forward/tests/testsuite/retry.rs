//! Second sends and requests that crash upstreams.

use std::time::Duration;

use coltsfootnotch_forward::retry::{BrokenRequests, RetryBound, SecondSends};
use coltsfootnotch_wire::BreakWord;
use googletest::prelude::*;
use proptest::prelude::{prop_assert, proptest};

const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 120.0,
    window: Duration::from_secs(10),
};

proptest! {
    /// Every upstream fails at once, and callers come unevenly to a dozen entries. Whatever the
    /// spread, all entries together keep the operator's bound in any window.
    #[test]
    fn all_entries_together_keep_the_bound(
        arrivals in proptest::collection::vec((0_usize..12, 0_u64..40_000), 1..2_000),
    ) {
        let mut arrivals = arrivals;
        arrivals.sort_by_key(|(_, at)| *at);
        let mut entries: Vec<_> = (0..12).map(|_| SecondSends::new(BOUND)).collect();
        let mut requests = Vec::new();
        let mut sends = Vec::new();
        for (entry, at) in arrivals {
            let now = Duration::from_millis(at);
            entries[entry].on_request(now, "spec");
            requests.push(at);
            if entries[entry].try_take(now, "spec", 12) {
                sends.push(at);
            }
        }
        let within = |list: &[u64], from: u64| {
            list.iter().filter(|at| (from..from + 10_000).contains(at)).count() as f64
        };
        for from in (0..40_000).step_by(500) {
            let allowed = within(&requests, from).max(within(&requests, from.saturating_sub(5_000)));
            prop_assert!(within(&sends, from) <= allowed * BOUND.ratio + BOUND.slack);
        }
    }
}

/// The same request crashes each engine that runs it, and its caller sends it again at other entries.
/// After the third crash every entry refuses it; requests that ran beside it go on.
#[googletest::test]
fn a_request_that_crashes_upstreams_is_refused_everywhere() {
    let now = Duration::from_secs(5);
    let mut entries = vec![BrokenRequests::default(); 3];
    for entry in 0..3 {
        let run = entry as u64;
        let beside = 100 + run;
        entries[entry].note_own(now, BreakWord { content: 7, run });
        entries[entry].note_own(
            now,
            BreakWord {
                content: beside,
                run,
            },
        );
        let (told, _) = entries[entry].report();
        for (other, broken) in entries.iter_mut().enumerate().filter(|(n, _)| *n != entry) {
            let _ = other;
            told.iter().for_each(|word| broken.note(now, *word));
        }
    }
    for entry in &entries {
        expect_that!(entry.is_refused(now, 7), eq(true));
        expect_that!(entry.is_refused(now, 101), eq(false));
        expect_that!(
            entry.is_refused(now + Duration::from_secs(60), 7),
            eq(false)
        );
    }
}

/// Many callers of one account ask the same, and the upstream that runs ten of their requests crashes.
/// It was one crash: what they ask is not refused.
#[googletest::test]
fn one_crash_counts_once_however_many_asked_the_same() {
    let now = Duration::from_secs(5);
    let mut broken = BrokenRequests::default();
    for _ in 0..10 {
        broken.note_own(now, BreakWord { content: 7, run: 1 });
    }
    expect_that!(broken.is_refused(now, 7), eq(false));
}

/// The same content is asked for again and again, and upstreams crash for other reasons. Between the
/// crashes it is answered, at this entry or another, so it is not what crashes them.
#[googletest::test]
fn a_content_that_is_answered_between_crashes_is_not_their_cause() {
    let now = Duration::from_secs(5);
    let (mut here, mut there) = (BrokenRequests::default(), BrokenRequests::default());
    for run in 0..20 {
        let word = BreakWord { content: 7, run };
        here.note_own(now, word);
        there.note(now, word);
        if run % 2 == 1 {
            here.note_own_success(7);
            let (_, mended) = here.report();
            mended
                .iter()
                .for_each(|content| there.note_success(*content));
        }
        expect_that!(here.is_refused(now, 7), eq(false));
        expect_that!(there.is_refused(now, 7), eq(false));
    }
}
