//! Where prompt prefixes are believed to be cached.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

/// Beliefs older than this are dropped: an engine of limited memory has evicted a prefix unused for
/// minutes, whether or not the event that says so arrived.
const BELIEF_LASTS: Duration = Duration::from_secs(300);

/// Prefixes remembered; at some hundred bytes each, a few megabytes on an entry host.
const MAX_PREFIXES: usize = 20_000;

/// Digest of the first tokens of a prompt, in whole cache blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixKey(pub u64);

#[derive(Debug, Clone, Default)]
struct Belief {
    holders: BTreeMap<UpstreamName, Duration>,
    last_used: Duration,
}

/// Which upstreams are believed to hold which prefixes.
///
/// It learns from runs that were started and from cache events. Events come late and with gaps, so
/// nothing depends on them: a wrong belief costs one recomputed prefix, a missing one falls back on
/// rendezvous hashing, and every belief ends by itself.
#[derive(Debug, Clone, Default)]
pub struct PrefixMap {
    beliefs: HashMap<PrefixKey, Belief>,
    by_use: BTreeSet<(Duration, PrefixKey)>,
}

impl PrefixMap {
    /// A map without beliefs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an upstream holds a prefix: a run with it started there, or an event said so.
    ///
    /// `at` is when that was; an event that was overtaken by a later one changes nothing.
    pub fn on_held(&mut self, prefix: PrefixKey, upstream: &UpstreamName, at: Duration) {
        let belief = self.beliefs.entry(prefix).or_default();
        self.by_use.remove(&(belief.last_used, prefix));
        belief.last_used = belief.last_used.max(at);
        self.by_use.insert((belief.last_used, prefix));
        let held = belief.holders.entry(upstream.clone()).or_default();
        *held = (*held).max(at);
        self.forget_excess();
    }

    /// Notes that an upstream evicted a prefix at `at`, unless it has used it since.
    pub fn on_evicted(&mut self, prefix: PrefixKey, upstream: &UpstreamName, at: Duration) {
        let Some(belief) = self.beliefs.get_mut(&prefix) else {
            return;
        };
        let is_stale = |held: &Duration| *held <= at;
        if belief.holders.get(upstream).is_some_and(is_stale) {
            belief.holders.remove(upstream);
        }
    }

    /// Whether an upstream is believed to hold a prefix.
    #[must_use]
    pub fn holds(&self, prefix: PrefixKey, upstream: &UpstreamName, now: Duration) -> bool {
        let belief = self.beliefs.get(&prefix);
        let held = belief.and_then(|b| b.holders.get(upstream));
        held.is_some_and(|at| now.saturating_sub(*at) < BELIEF_LASTS)
    }

    fn forget_excess(&mut self) {
        while self.beliefs.len() > MAX_PREFIXES {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.beliefs.remove(&oldest);
        }
    }
}
