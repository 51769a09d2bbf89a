//! What entries have been told of free slots and cached prefixes.

use std::collections::BTreeMap;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::FromSidecar;

/// What one entry has been told, and is to be told next.
#[derive(Debug, Default)]
struct Told {
    free: BTreeMap<PoolName, u32>,
    cached: BTreeMap<PoolName, Vec<u64>>,
}

/// Every connected entry.
#[derive(Debug, Default)]
pub(super) struct Entries {
    told: BTreeMap<HostName, Told>,
}

impl Entries {
    pub(super) fn up(&mut self, entry: HostName) {
        self.told.insert(entry, Told::default());
    }

    pub(super) fn down(&mut self, entry: &HostName) {
        self.told.remove(entry);
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &HostName> {
        self.told.keys()
    }

    /// Notes prefixes to be told.
    pub(super) fn learn_cached(&mut self, pool: &PoolName, prefixes: &[u64]) {
        for told in self.told.values_mut() {
            told.cached
                .entry(pool.clone())
                .or_default()
                .extend(prefixes);
        }
    }

    /// Keeps what an entry believes to be free in step: it takes off one slot with each offer.
    pub(super) fn count_offer(&mut self, entry: &HostName, pool: &PoolName) {
        let slots = self
            .told
            .get_mut(entry)
            .and_then(|told| told.free.get_mut(pool));
        if let Some(slots) = slots {
            *slots = slots.saturating_sub(1);
        }
    }

    /// Messages to the entries whose picture has changed: between none and some, or by a power of
    /// two. Each start and end of a request told to every entry would be most of the control traffic.
    pub(super) fn news(&mut self, free: &[(PoolName, u32)]) -> Vec<(HostName, FromSidecar)> {
        let mut news = Vec::new();
        for (entry, told) in &mut self.told {
            for (pool, slots) in free {
                let cached = told.cached.remove(pool).unwrap_or_default();
                let last = told.free.get(pool);
                let same = last.is_some_and(|last| magnitude(*last) == magnitude(*slots));
                if same && cached.is_empty() {
                    continue;
                }
                told.free.insert(pool.clone(), *slots);
                let message = FromSidecar::Free {
                    pool: pool.clone(),
                    slots: *slots,
                    cached,
                };
                news.push((entry.clone(), message));
            }
        }
        news
    }
}

/// Bits of a count: two counts of the same size are told as one.
fn magnitude(count: u32) -> u32 {
    u32::BITS - count.leading_zeros()
}
