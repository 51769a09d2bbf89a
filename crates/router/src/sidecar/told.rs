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

/// Slots of one pool.
#[derive(Debug)]
pub(super) struct Slots {
    pub(super) pool: PoolName,
    pub(super) free: u32,
    pub(super) usable: u32,
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
    ///
    /// `served` has every pool that is served; of the others an entry hears that they are not, or it
    /// would go on offering to slots that are gone.
    pub(super) fn news(&mut self, served: &[Slots]) -> Vec<(HostName, FromSidecar)> {
        let mut news = Vec::new();
        for (entry, told) in &mut self.told {
            for slots in served {
                news.extend(told.of(slots).map(|message| (entry.clone(), message)));
            }
            let gone = told.drop_others(served);
            news.extend(gone.into_iter().map(|message| (entry.clone(), message)));
        }
        news
    }
}

impl Told {
    fn of(&mut self, slots: &Slots) -> Option<FromSidecar> {
        let cached = self.cached.remove(&slots.pool).unwrap_or_default();
        let last = self.free.get(&slots.pool);
        let same = last.is_some_and(|last| magnitude(*last) == magnitude(slots.free));
        if same && cached.is_empty() {
            return None;
        }
        self.free.insert(slots.pool.clone(), slots.free);
        Some(FromSidecar::Free {
            pool: slots.pool.clone(),
            slots: slots.free,
            usable: slots.usable,
            cached,
        })
    }

    fn drop_others(&mut self, served: &[Slots]) -> Vec<FromSidecar> {
        let is_served = |pool: &PoolName| served.iter().any(|slots| slots.pool == *pool);
        self.cached.retain(|pool, _| is_served(pool));
        let told = self.free.keys();
        let gone: Vec<PoolName> = told.filter(|pool| !is_served(pool)).cloned().collect();
        self.free.retain(|pool, _| is_served(pool));
        let not_served = |pool| FromSidecar::NotServed { pool };
        gone.into_iter().map(not_served).collect()
    }
}

/// Bits of a count: two counts of the same size are told as one.
fn magnitude(count: u32) -> u32 {
    u32::BITS - count.leading_zeros()
}
