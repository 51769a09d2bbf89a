//! Choice of the upstream for an offered request.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

use super::{Candidate, PrefixKey, PrefixMap};

/// Multiple of the mean load up to which an upstream is preferred for a cached prefix. At 1.25 work for
/// one popular prefix spreads as soon as its holder is a quarter busier than the rest.
const LOAD_BOUND: f64 = 1.25;

/// Load up to which affinity always counts, so that a prefix is not spread over idle engines.
const MIN_LOAD_BOUND: f64 = 0.5;

/// Chooses the index of a candidate with a free slot; `None` if none is free or all are in `avoid`.
///
/// `avoid` has the upstreams of the request's failed attempts.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::route::{Candidate, PrefixMap, Proximity, choose_upstream};
/// use coltsfootnotch_types::UpstreamName;
/// let (busy, free) = (UpstreamName::new("u1")?, UpstreamName::new("u2")?);
/// let of = |upstream, in_flight| Candidate {
///     upstream,
///     proximity: Proximity::Domain,
///     usable: 8,
///     in_flight,
/// };
/// let candidates = [of(&busy, 8), of(&free, 7)];
/// let chosen = choose_upstream(&candidates, None, &[], &PrefixMap::new(), Duration::ZERO);
/// assert_eq!(chosen, Some(1));
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[must_use]
pub fn choose_upstream(
    candidates: &[Candidate<'_>],
    prefix: Option<PrefixKey>,
    avoid: &[UpstreamName],
    map: &PrefixMap,
    now: Duration,
) -> Option<usize> {
    let bound = load_bound(candidates);
    let rank = |candidate: &Candidate<'_>| {
        let is_cached = prefix.is_some_and(|p| map.is_cached(p, candidate.upstream, now));
        let has_affinity = is_cached && load(candidate) <= bound;
        let load_percent = prefix.is_none().then(|| load_percent(candidate));
        let hash = prefix.map(|p| Reverse(rendezvous(p, candidate.upstream)));
        let overloaded = load(candidate) > bound;
        (
            !has_affinity,
            overloaded,
            candidate.proximity,
            load_percent,
            hash,
        )
    };
    let free = |c: &Candidate<'_>| c.free() > 0 && !avoid.contains(c.upstream);
    let open = candidates.iter().enumerate().filter(|(_, c)| free(c));
    open.min_by_key(|(_, c)| rank(c)).map(|(i, _)| i)
}

fn load(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.in_flight) / f64::from(candidate.usable.max(1))
}

/// Load in percent.
fn load_percent(candidate: &Candidate<'_>) -> u32 {
    candidate.in_flight.saturating_mul(100) / candidate.usable.max(1)
}

/// Load up to which affinity counts, from the mean load including the new request.
fn load_bound(candidates: &[Candidate<'_>]) -> f64 {
    let in_flight_total: u32 = candidates.iter().map(|c| c.in_flight).sum();
    let usable_total: u32 = candidates.iter().map(|c| c.usable).sum();
    let mean = f64::from(in_flight_total + 1) / f64::from(usable_total.max(1));
    (LOAD_BOUND * mean).max(MIN_LOAD_BOUND)
}

/// Rendezvous hash: all hosts prefer the same upstreams for a prefix, and removing an upstream
/// moves only its own prefixes.
fn rendezvous(prefix: PrefixKey, upstream: &UpstreamName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, upstream).hash(&mut hasher);
    hasher.finish()
}
