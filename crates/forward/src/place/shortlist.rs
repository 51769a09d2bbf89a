//! Engines that are compared for a request.
//!
//! All entries place requests by reports that are 100 to 200 ms old. If each compares all engines,
//! they all overfill the one that looked least loaded while others idle. Each request is therefore
//! compared at a few engines only: those with the most cached segments of its prompt, and two
//! chosen at random (power of two choices). No engine gets more than twice its even share between
//! two reports, and a loaded engine still gets less.

use super::target::Candidate;
use super::{PlacementRequest, PrefillRate};
use crate::place::rendezvous::distance;

/// Prefill time of cached segments, in milliseconds, from which the engines that cache them are
/// always compared.
const MIN_CACHED_MS: f64 = 3.0;

/// The engines to compare for a request.
pub(super) struct Shortlist<'a, 'b> {
    usable: &'b [Candidate<'a>],
    sampled: [usize; 2],
    /// Index of the preferred engine for a subject that is cached nowhere.
    preferred: Option<usize>,
    /// Most tokens of the request's shared segments that any engine has cached.
    pub(super) max_cached: u64,
    includes_caching: bool,
}

impl<'a, 'b> Shortlist<'a, 'b> {
    pub(super) fn new(
        request: &PlacementRequest<'_>,
        prefill_rate: PrefillRate,
        usable: &'b [Candidate<'a>],
    ) -> Self {
        let cached_tokens =
            |c: &Candidate<'_>| c.load.cached.cached_prefix_tokens(&request.prompt.shared);
        let max_cached = usable.iter().map(cached_tokens).max().unwrap_or(0);
        let subject = request.prompt.shared.last().filter(|_| max_cached == 0);
        let preferred = subject.and_then(|subject| {
            let rank = |c: &Candidate<'_>| distance(subject.id, c.id);
            let closer = |a: &usize, b: &usize| rank(&usable[*a]).total_cmp(&rank(&usable[*b]));
            (0..usable.len()).min_by(closer)
        });
        Self {
            sampled: sample_two(request.tie_breaker, usable.len()),
            includes_caching: max_cached as f64 / prefill_rate.tokens_per_ms >= MIN_CACHED_MS,
            usable,
            preferred,
            max_cached,
        }
    }

    /// The engines to compare.
    pub(super) fn iter(
        &self,
        request: &PlacementRequest<'_>,
    ) -> impl Iterator<Item = &'b Candidate<'a>> {
        let is_listed = move |(index, candidate): &(usize, &Candidate<'_>)| {
            let caches_most = || {
                candidate
                    .load
                    .cached
                    .cached_prefix_tokens(&request.prompt.shared)
                    == self.max_cached
            };
            self.sampled.contains(index)
                || self.preferred == Some(*index)
                || self.includes_caching && caches_most()
        };
        let all = self.usable.iter().enumerate();
        all.filter(is_listed).map(|(_, candidate)| candidate)
    }
}

/// Two different indices below `len`, or as many as there are.
fn sample_two(tie_breaker: u64, len: usize) -> [usize; 2] {
    let len = len.max(1) as u64;
    let first = tie_breaker % len;
    let step = 1 + (tie_breaker >> 32) % (len - 1).max(1);
    [first as usize, ((first + step) % len) as usize]
}
