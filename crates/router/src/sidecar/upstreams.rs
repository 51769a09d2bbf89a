//! The upstreams beside a sidecar, and their slots.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::prelude::*;

/// One upstream as its sidecar counts it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSlots {
    /// Its pool.
    pub pool: PoolName,
    /// How many requests it is let hold at once.
    pub window: u32,
    /// How many it holds.
    pub running: u32,
    /// How many slots are reserved for pulls.
    pub reserved: u32,
    /// Until when its last announcement holds.
    pub live_until: Duration,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl UpstreamSlots {
    /// Slots that may be given out now.
    #[must_use]
    pub fn free(&self, now: Duration) -> u32 {
        if self.leaving || self.live_until <= now {
            return 0;
        }
        self.window.saturating_sub(self.running + self.reserved)
    }
}

/// Every upstream beside one sidecar.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    upstreams: BTreeMap<UpstreamName, UpstreamSlots>,
}

impl UpstreamTable {
    /// Takes in an announcement: a new upstream, or news of a known one.
    pub fn announce(
        &mut self,
        name: UpstreamName,
        pool: PoolName,
        live_until: Duration,
        leaving: bool,
        first_window: u32,
    ) {
        let slots = self.upstreams.entry(name).or_insert_with(|| UpstreamSlots {
            pool: pool.clone(),
            window: first_window,
            running: 0,
            reserved: 0,
            live_until,
            leaving,
        });
        slots.pool = pool;
        slots.live_until = live_until;
        slots.leaving = leaving;
    }

    /// Free slots of a pool.
    #[must_use]
    pub fn free(&self, now: Duration, pool: &PoolName) -> u32 {
        self.of_pool(pool).map(|(_, slots)| slots.free(now)).sum()
    }

    /// The upstream of a pool with the most free slots.
    #[must_use]
    pub fn freest(&self, now: Duration, pool: &PoolName) -> Option<UpstreamName> {
        self.of_pool(pool)
            .filter(|(_, slots)| slots.free(now) > 0)
            .max_by_key(|(_, slots)| slots.free(now))
            .map(|(name, _)| name.clone())
    }

    /// The pools served, each with its live upstreams that are not leaving.
    #[must_use]
    pub fn pools(&self, now: Duration) -> BTreeMap<PoolName, u32> {
        let mut pools = BTreeMap::new();
        for slots in self.upstreams.values() {
            let live = slots.live_until > now && !slots.leaving;
            *pools.entry(slots.pool.clone()).or_insert(0) += u32::from(live);
        }
        pools
    }

    /// One upstream, to be changed.
    pub fn get_mut(&mut self, name: &UpstreamName) -> Option<&mut UpstreamSlots> {
        self.upstreams.get_mut(name)
    }

    /// One upstream.
    #[must_use]
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamSlots> {
        self.upstreams.get(name)
    }

    /// Every upstream.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamSlots)> {
        self.upstreams.iter()
    }

    /// Forgets upstreams that have been silent since before `now` and hold nothing.
    pub fn forget_silent(&mut self, now: Duration) {
        self.upstreams
            .retain(|_, slots| slots.live_until > now || slots.running + slots.reserved > 0);
    }

    fn of_pool<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = (&'a UpstreamName, &'a UpstreamSlots)> {
        self.upstreams
            .iter()
            .filter(move |(_, slots)| slots.pool == *pool)
    }
}
