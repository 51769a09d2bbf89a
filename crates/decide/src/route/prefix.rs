//! Estimated locations of cached prompt prefixes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

/// Lifetime of an entry since its last use, in case the eviction event is lost.
const ENTRY_LIFETIME: Duration = Duration::from_secs(300);

/// Maximum number of prefixes, which bounds memory to a few megabytes.
const MAX_PREFIXES: usize = 20_000;

/// Digest of the first tokens of a prompt, in whole cache blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixKey(pub u64);

#[derive(Debug, Clone, Default)]
struct Entry {
    holders: BTreeMap<UpstreamName, Duration>,
    last_used: Duration,
}

/// Which upstreams are likely to have which prefixes cached.
///
/// Updated by started runs and cache events. Events may be late or lost: a wrong entry costs one
/// recomputed prefix and expires, and without an entry rendezvous hashing decides.
#[derive(Debug, Clone, Default)]
pub struct PrefixMap {
    entries: HashMap<PrefixKey, Entry>,
    by_last_use: BTreeSet<(Duration, PrefixKey)>,
}

impl PrefixMap {
    /// An empty map.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream had a prefix cached at `at`, by a started run or a cache event.
    ///
    /// An event older than the last one has no effect.
    pub fn on_cached(&mut self, prefix: PrefixKey, upstream: &UpstreamName, at: Duration) {
        let entry = self.entries.entry(prefix).or_default();
        self.by_last_use.remove(&(entry.last_used, prefix));
        entry.last_used = entry.last_used.max(at);
        self.by_last_use.insert((entry.last_used, prefix));
        let last_seen = entry.holders.entry(upstream.clone()).or_default();
        *last_seen = (*last_seen).max(at);
        self.evict_excess();
    }

    /// Records that an upstream evicted a prefix at `at`, unless it has used the prefix since.
    pub fn on_evicted(&mut self, prefix: PrefixKey, upstream: &UpstreamName, at: Duration) {
        let Some(entry) = self.entries.get_mut(&prefix) else {
            return;
        };
        let is_stale = |last_seen: &Duration| *last_seen <= at;
        if entry.holders.get(upstream).is_some_and(is_stale) {
            entry.holders.remove(upstream);
        }
    }

    /// Whether an upstream is likely to have a prefix cached.
    #[must_use]
    pub fn is_cached(&self, prefix: PrefixKey, upstream: &UpstreamName, now: Duration) -> bool {
        let entry = self.entries.get(&prefix);
        let last_seen = entry.and_then(|e| e.holders.get(upstream));
        last_seen.is_some_and(|at| now.saturating_sub(*at) < ENTRY_LIFETIME)
    }

    fn evict_excess(&mut self) {
        while self.entries.len() > MAX_PREFIXES {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}
