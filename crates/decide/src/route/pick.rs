//! The request of an account that a pulling upstream gets.

use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

use super::{PrefixKey, PrefixMap};

/// Only the oldest few requests are looked at: affinity must not turn an account's queue around.
const LOOK_AT: usize = 8;

/// How often a request may be passed over in favour of a younger one. With four, the oldest is
/// started at the latest by the fifth pull, whatever the prefixes of the others.
const MAX_PASSED: u32 = 4;

/// A waiting request as far as the choice is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest<'a> {
    /// Its prompt's prefix, if it has one.
    pub prefix: Option<PrefixKey>,
    /// How often a younger request was taken before it.
    pub passed: u32,
    /// Upstreams on which it has already failed.
    pub avoid: &'a [UpstreamName],
}

/// Chooses which of an account's requests, oldest first, `upstream` gets.
///
/// The caller counts one more `passed` for each request older than the one chosen. `None` when none
/// of the oldest may run there.
#[must_use]
pub fn pick_request<'a>(
    oldest_first: impl IntoIterator<Item = WaitingRequest<'a>>,
    upstream: &UpstreamName,
    map: &PrefixMap,
    now: Duration,
) -> Option<usize> {
    let mut first = None;
    let requests = oldest_first.into_iter().enumerate();
    let may_run = |r: &WaitingRequest<'_>| !r.avoid.contains(upstream);
    for (i, req) in requests.filter(|(_, r)| may_run(r)).take(LOOK_AT) {
        if req.prefix.is_some_and(|p| map.holds(p, upstream, now)) {
            return Some(i);
        }
        if req.passed >= MAX_PASSED {
            return Some(first.unwrap_or(i));
        }
        first.get_or_insert(i);
    }
    first
}
