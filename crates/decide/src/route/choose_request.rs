//! Choice of the request of an account for an upstream that pulls.

use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

use super::{PrefixKey, PrefixMap};

/// Number of oldest requests considered, so that affinity keeps the order of the queue roughly.
const CANDIDATES: usize = 8;

/// How often a request may be skipped in favour of a younger one, so that requests of another
/// prefix do not starve.
const MAX_SKIPPED: u32 = 4;

/// A waiting request, as input of the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest<'a> {
    /// Prefix of its prompt, if any.
    pub prefix: Option<PrefixKey>,
    /// How often a younger request was chosen instead.
    pub skipped: u32,
    /// Upstreams of its failed attempts.
    pub avoid: &'a [UpstreamName],
}

/// Chooses the index of the request, among those of an account oldest first, to run on `upstream`.
///
/// The caller increments `skipped` of each request older than the one chosen. `None` if none of the
/// oldest may run there.
#[must_use]
pub fn choose_request<'a>(
    oldest_first: impl IntoIterator<Item = WaitingRequest<'a>>,
    upstream: &UpstreamName,
    map: &PrefixMap,
    now: Duration,
) -> Option<usize> {
    let mut first = None;
    let requests = oldest_first.into_iter().enumerate();
    let may_run = |r: &WaitingRequest<'_>| !r.avoid.contains(upstream);
    for (i, req) in requests.filter(|(_, r)| may_run(r)).take(CANDIDATES) {
        if req.prefix.is_some_and(|p| map.is_cached(p, upstream, now)) {
            return Some(i);
        }
        if req.skipped >= MAX_SKIPPED {
            return Some(first.unwrap_or(i));
        }
        first.get_or_insert(i);
    }
    first
}
