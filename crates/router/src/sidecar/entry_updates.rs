//! Reports to the entries of free slots and cached prefixes.

use std::collections::BTreeMap;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::FromSidecar;

/// The free slots last reported to one entry, and the prefixes still to report.
#[derive(Debug, Default)]
struct EntryState {
    free: BTreeMap<PoolName, u32>,
    cached: BTreeMap<PoolName, Vec<u64>>,
}

/// Slot counts of one pool.
#[derive(Debug)]
pub(super) struct Slots {
    pub(super) pool: PoolName,
    pub(super) free: u32,
    pub(super) usable: u32,
}

/// The connected entries.
#[derive(Debug, Default)]
pub(super) struct EntryTable {
    entries: BTreeMap<HostName, EntryState>,
}

impl EntryTable {
    pub(super) fn on_connected(&mut self, entry: HostName) {
        self.entries.insert(entry, EntryState::default());
    }

    pub(super) fn on_disconnected(&mut self, entry: &HostName) {
        self.entries.remove(entry);
    }

    pub(super) fn hosts(&self) -> impl Iterator<Item = &HostName> {
        self.entries.keys()
    }

    /// Adds prefixes to the next report to each entry.
    pub(super) fn add_cached_prefixes(&mut self, pool: &PoolName, prefixes: &[u64]) {
        for state in self.entries.values_mut() {
            state
                .cached
                .entry(pool.clone())
                .or_default()
                .extend(prefixes);
        }
    }

    /// Follows the entry's own count of free slots, from which it subtracts each offer.
    pub(super) fn on_offer(&mut self, entry: &HostName, pool: &PoolName) {
        let slots = self
            .entries
            .get_mut(entry)
            .and_then(|state| state.free.get_mut(pool));
        if let Some(slots) = slots {
            *slots = slots.saturating_sub(1);
        }
    }

    /// Messages for the entries whose last report is out of date: the number of free slots has
    /// changed its [`magnitude`], or prefixes were added. A message for every change dominates the
    /// control traffic.
    ///
    /// `served` lists every served pool. `NotServed` is sent for reported pools that it lacks, so
    /// that entries stop offering to their slots.
    pub(super) fn updates(&mut self, served: &[Slots]) -> Vec<(HostName, FromSidecar)> {
        let mut updates = Vec::new();
        for (entry, state) in &mut self.entries {
            for slots in served {
                updates.extend(
                    state
                        .update_for(slots)
                        .map(|message| (entry.clone(), message)),
                );
            }
            let removed = state.remove_unserved(served);
            updates.extend(removed.into_iter().map(|message| (entry.clone(), message)));
        }
        updates
    }
}

impl EntryState {
    fn update_for(&mut self, slots: &Slots) -> Option<FromSidecar> {
        let cached = self.cached.remove(&slots.pool).unwrap_or_default();
        let last = self.free.get(&slots.pool);
        let same = last.is_some_and(|last| magnitude(*last) == magnitude(slots.free));
        if same && cached.is_empty() {
            return None;
        }
        self.free.insert(slots.pool.clone(), slots.free);
        Some(FromSidecar::FreeSlots {
            pool: slots.pool.clone(),
            slots: slots.free,
            usable: slots.usable,
            cached,
        })
    }

    fn remove_unserved(&mut self, served: &[Slots]) -> Vec<FromSidecar> {
        let is_served = |pool: &PoolName| served.iter().any(|slots| slots.pool == *pool);
        self.cached.retain(|pool, _| is_served(pool));
        let reported = self.free.keys();
        let removed: Vec<PoolName> = reported.filter(|pool| !is_served(pool)).cloned().collect();
        self.free.retain(|pool, _| is_served(pool));
        let not_served = |pool| FromSidecar::NotServed { pool };
        removed.into_iter().map(not_served).collect()
    }
}

/// Number of bits of a count; counts of the same magnitude need no new report.
fn magnitude(count: u32) -> u32 {
    u32::BITS - count.leading_zeros()
}
