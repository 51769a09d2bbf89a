//! The rule that a client account which waits gets a fair part of the service.

use std::fmt;

use googletest::prelude::*;

/// Seconds over which an account is compared with the others.
const WINDOW: usize = 6;
/// Part of what it could have got that an account gets at least.
const LEAST_PART: f64 = 0.5;
/// Requests that an account may lack, of the largest.
const SLACK_REQUESTS: u64 = 3;

/// An account in one second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Second {
    /// Service units of the requests that its callers sent.
    pub(super) asked: u64,
    /// Service units of the requests that engines began to run.
    pub(super) got: u64,
    /// Whether a request was refused, could not be sent, or waited past its target.
    pub(super) waited: bool,
}

/// An account that waited all through a window and got too little.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unfair {
    account: usize,
    /// The first second of the window.
    from_second: usize,
    asked: u64,
    got: u64,
    /// What the account could have got: in each second the lesser of what it asked for and what the
    /// account that is served best got.
    fair: u64,
}

impl fmt::Display for Unfair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            account,
            from_second,
            asked,
            got,
            fair,
        } = self;
        write!(
            f,
            "account {account} from second {from_second}: asked {asked}, got {got} of {fair}"
        )
    }
}

/// The accounts and windows that break the rule; `all_seconds` holds the seconds of each account.
pub(super) fn unfair(all_seconds: &[Vec<Second>], largest_request: u64) -> Vec<Unfair> {
    let all = all_seconds.first().map_or(0, Vec::len);
    let mut found = Vec::new();
    for (account, seconds) in all_seconds.iter().enumerate() {
        for from in 0..=all.saturating_sub(WINDOW) {
            let window = &seconds[from..from + WINDOW];
            if !window.iter().all(|second| second.waited) {
                continue;
            }
            let beside = |other: &[Second]| -> u64 {
                let both = window.iter().zip(&other[from..]);
                both.map(|(s, other)| s.asked.min(other.got)).sum()
            };
            let fair = all_seconds.iter().map(|other| beside(other)).max();
            let fair = fair.unwrap_or_default();
            let got: u64 = window.iter().map(|s| s.got).sum();
            let least = fair as f64 * LEAST_PART - (SLACK_REQUESTS * largest_request) as f64;
            if (got as f64) < least {
                found.push(Unfair {
                    account,
                    from_second: from,
                    asked: window.iter().map(|s| s.asked).sum(),
                    got,
                    fair,
                });
            }
        }
    }
    found
}

/// Six seconds in which an account asks for 100 units each and gets `got`, beside one that gets 80.
fn beside_80(got: u64) -> [Vec<Second>; 2] {
    let second = |got| Second {
        asked: 100,
        got,
        waited: true,
    };
    [vec![second(got); WINDOW], vec![second(80); WINDOW]]
}

/// Guards against a check that passes whatever accounts get.
#[googletest::test]
fn an_account_that_waits_needs_half_of_what_another_gets() {
    expect_that!(unfair(&beside_80(40), 0), is_empty());
    expect_that!(unfair(&beside_80(39), 0).len(), eq(1));
    let slack = 2;
    expect_that!(unfair(&beside_80(39), slack), is_empty());
}

/// Guards against accounts that are served and count as waiting.
#[googletest::test]
fn an_account_that_does_not_wait_in_one_second_may_get_less() {
    let mut seconds = beside_80(10);
    seconds[0][3].waited = false;
    expect_that!(unfair(&seconds, 0), is_empty());
}
