//! The upstream that an offered request goes to.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

use super::{Candidate, PrefixKey, PrefixMap};

/// An upstream that holds the prefix is preferred while its load is at most this multiple of the
/// mean load. At 1.25, work for one popular prefix spreads as soon as its holder is a quarter busier
/// than the rest, and each upstream it spreads to holds the prefix from then on.
const LOAD_BOUND: f64 = 1.25;

/// Up to this load affinity always counts: an engine at half its slots serves as fast as an empty one,
/// and spreading a prefix over idle engines would only compute it more often.
const AT_EASE: f64 = 0.5;

/// Chooses among upstreams with a free slot; `None` when none is free or all are to be avoided.
///
/// `avoid` holds the upstreams on which the request has already failed.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::route::{Candidate, Nearness, PrefixMap, place};
/// use coltsfootnotch_types::UpstreamName;
/// let (busy, free) = (UpstreamName::new("u1")?, UpstreamName::new("u2")?);
/// let of = |upstream, in_flight| Candidate {
///     upstream,
///     nearness: Nearness::Domain,
///     usable: 8,
///     in_flight,
/// };
/// let candidates = [of(&busy, 8), of(&free, 7)];
/// let chosen = place(&candidates, None, &[], &PrefixMap::new(), Duration::ZERO);
/// assert_eq!(chosen, Some(1));
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[must_use]
pub fn place(
    candidates: &[Candidate<'_>],
    prefix: Option<PrefixKey>,
    avoid: &[UpstreamName],
    map: &PrefixMap,
    now: Duration,
) -> Option<usize> {
    let bound = load_bound(candidates);
    let rank = |candidate: &Candidate<'_>| {
        let holds = prefix.is_some_and(|p| map.holds(p, candidate.upstream, now));
        let affine = holds && load(candidate) <= bound;
        let load_steps = prefix.is_none().then(|| load_steps(candidate));
        let affinity = prefix.map(|p| Reverse(rendezvous(p, candidate.upstream)));
        let overloaded = load(candidate) > bound;
        (
            !affine,
            overloaded,
            candidate.nearness,
            load_steps,
            affinity,
        )
    };
    let free = |c: &Candidate<'_>| c.free() > 0 && !avoid.contains(c.upstream);
    let open = candidates.iter().enumerate().filter(|(_, c)| free(c));
    open.min_by_key(|(_, c)| rank(c)).map(|(i, _)| i)
}

fn load(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.in_flight) / f64::from(candidate.usable.max(1))
}

/// Load in hundredths, so that it can be ordered.
fn load_steps(candidate: &Candidate<'_>) -> u32 {
    candidate.in_flight.saturating_mul(100) / candidate.usable.max(1)
}

/// The load up to which affinity counts, from the mean load with the new request included.
fn load_bound(candidates: &[Candidate<'_>]) -> f64 {
    let held: u32 = candidates.iter().map(|c| c.in_flight).sum();
    let usable: u32 = candidates.iter().map(|c| c.usable).sum();
    let mean = f64::from(held + 1) / f64::from(usable.max(1));
    (LOAD_BOUND * mean).max(AT_EASE)
}

/// Every host prefers the same upstreams for a prefix, and when one leaves, only its own prefixes
/// move.
fn rendezvous(prefix: PrefixKey, upstream: &UpstreamName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, upstream).hash(&mut hasher);
    hasher.finish()
}
