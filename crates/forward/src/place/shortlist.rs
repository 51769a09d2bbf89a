//! Engines that are compared for a request.
//!
//! All entries place requests by reports that are 100 to 300 ms old. If each compares all engines,
//! they all overfill the one that looked least loaded while others idle. Each request is therefore
//! compared at a few engines only.
//!
//! A prompt with shared segments is compared at the homes of its subject, the first few engines in an
//! order by hash that all entries share, and at engines that have it cached. If a busy home sends it
//! to any engine that looks idle, that engine prefills all of its shared segments; under load most
//! engines do so for most subjects, the copies evict each other, and the fleet prefills three times
//! the tokens for each request. Two engines chosen at random (power of two choices) are compared for
//! other prompts, and for a subject that is cached nowhere when its homes are saturated.

use super::target::Candidate;
use super::{PlacementRequest, PrefillRate};
use crate::place::rendezvous::distance;

/// Prefill time of shared segments, in milliseconds, from which a prompt is kept at the homes of its
/// subject.
const MIN_SHARED_MS: f64 = 3.0;

/// Homes of a subject that is not in high demand. The second one balances the load of the first.
const MIN_HOMES: usize = 2;

/// Share of an engine's time that the requests about one subject may take at each of its homes.
const MAX_HOME_SHARE: f64 = 0.5;

/// The engines to compare for a request.
pub(super) struct Shortlist<'a, 'b> {
    usable: &'b [Candidate<'a>],
    sampled: [usize; 2],
    /// Indices of the homes of the prompt's subject, the first one first. Empty for a prompt that is
    /// not kept at homes.
    homes: Vec<usize>,
    pub(super) cache: SharedCache,
}

/// What engines have cached of a prompt's shared segments.
#[derive(Clone, Copy)]
pub(super) struct SharedCache {
    /// Most tokens that any engine has.
    pub(super) most: u64,
    /// Tokens that the engines to which the prompt belongs are expected to have.
    pub(super) expected: u64,
    /// Whether some engine has all segments.
    pub(super) has_subject: bool,
}

/// An engine to compare.
pub(super) struct Listed<'a, 'b> {
    pub(super) candidate: &'b Candidate<'a>,
    /// Its rank among the homes of the prompt's subject, from 0.
    pub(super) home_rank: Option<usize>,
}

impl<'a, 'b> Shortlist<'a, 'b> {
    pub(super) fn new(
        request: &PlacementRequest<'_>,
        prefill_rate: PrefillRate,
        usable: &'b [Candidate<'a>],
    ) -> Self {
        let shared = &request.prompt.shared;
        let cached_tokens = |c: &Candidate<'_>| c.load.cached.cached_prefix_tokens(shared);
        let to_ms = |tokens: u64| tokens as f64 / prefill_rate.tokens_per_ms;
        let shared_tokens = request.prompt.shared_tokens();
        let is_kept = to_ms(shared_tokens) >= MIN_SHARED_MS;
        let own_ms = to_ms(request.prompt.own_tokens());
        let count = home_count(request.subject_per_s, own_ms);
        let subject = request.prompt.subject().filter(|_| is_kept);
        let homes = subject.map_or_else(Vec::new, |s| homes(s.id, count, usable));
        let most = usable.iter().map(cached_tokens).max().unwrap_or(0);
        let has_subject = most == shared_tokens;
        let at_homes = homes.iter().map(|home| cached_tokens(&usable[*home]));
        let expected = if has_subject {
            most
        } else {
            at_homes.max().unwrap_or(most)
        };
        Self {
            sampled: sample_two(request.tie_breaker, usable.len()),
            homes,
            usable,
            cache: SharedCache {
                most,
                expected,
                has_subject,
            },
        }
    }

    /// Whether the prompt goes to its homes and to engines that have all of its shared segments cached,
    /// while these have room.
    pub(super) fn is_kept_at_homes(&self) -> bool {
        !self.homes.is_empty() && self.cache.has_subject
    }

    /// The homes of the prompt's subject, and the engines that have all of its shared segments cached.
    pub(super) fn preferred(
        &self,
        request: &PlacementRequest<'_>,
    ) -> impl Iterator<Item = Listed<'a, 'b>> {
        let caches_subject = |c: &Candidate<'_>| {
            c.load.cached.cached_prefix_tokens(&request.prompt.shared) == self.cache.most
        };
        let is_kept_at_homes = self.is_kept_at_homes();
        let all = self.usable.iter().enumerate();
        all.filter_map(move |(index, candidate)| {
            let home_rank = self.homes.iter().position(|home| *home == index);
            let is_listed = home_rank.is_some() || is_kept_at_homes && caches_subject(candidate);
            is_listed.then_some(Listed {
                candidate,
                home_rank,
            })
        })
    }

    /// Two engines chosen at random.
    pub(super) fn sampled(&self) -> impl Iterator<Item = Listed<'a, 'b>> {
        let sampled = self.sampled.iter().filter_map(|i| self.usable.get(*i));
        sampled.map(Listed::without_rank)
    }

    /// All engines.
    pub(super) fn all(&self) -> impl Iterator<Item = Listed<'a, 'b>> {
        self.usable.iter().map(Listed::without_rank)
    }
}

impl<'a, 'b> Listed<'a, 'b> {
    fn without_rank(candidate: &'b Candidate<'a>) -> Self {
        Self {
            candidate,
            home_rank: None,
        }
    }
}

/// Number of homes of a subject with `per_s` requests per second that each take `own_ms` of an
/// engine's time.
fn home_count(per_s: f64, own_ms: f64) -> usize {
    let engines = per_s * own_ms / 1e3 / MAX_HOME_SHARE;
    MIN_HOMES.max(engines.ceil() as usize)
}

/// Indices of the first `count` engines in the order of the subject.
fn homes(subject: u64, count: usize, usable: &[Candidate<'_>]) -> Vec<usize> {
    let all = usable.iter().enumerate();
    let mut ranked: Vec<(f64, usize)> = all
        .map(|(index, c)| (distance(subject, c.id), index))
        .collect();
    let by_distance = |a: &(f64, usize), b: &(f64, usize)| a.0.total_cmp(&b.0);
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, by_distance);
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(by_distance);
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Two different indices below `len`, or as many as there are.
fn sample_two(tie_breaker: u64, len: usize) -> [usize; 2] {
    let len = len.max(1) as u64;
    let first = tie_breaker % len;
    let step = 1 + (tie_breaker >> 32) % (len - 1).max(1);
    [first as usize, ((first + step) % len) as usize]
}
