//! The upstreams beside a sidecar, and their slots.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_decide::crash::IsolationSlot;
use coltsfootnotch_decide::route::{HealthEvent, UpstreamHealth, VersionShift, usable_slots};
use coltsfootnotch_decide::window::{ConcurrencyWindow, WindowTargets};
use coltsfootnotch_types::prelude::*;

/// What an announcement says of an upstream's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct News {
    /// Until when the announcement holds.
    pub live_until: Duration,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Requests that wait inside it, as it reports.
    pub queued: u32,
    /// When that was so.
    pub reported: Duration,
    /// Times its window aims at.
    pub targets: WindowTargets,
}

/// One upstream as its sidecar counts it.
#[derive(Debug)]
pub struct UpstreamSlots {
    /// Its pool.
    pub pool: PoolName,
    /// How many requests it is let hold at once.
    pub window: ConcurrencyWindow,
    /// How much of the window is used.
    pub health: UpstreamHealth,
    /// How much of it the version that it serves has been given yet.
    pub version: VersionShift,
    /// Keeps suspects of crashes apart.
    pub apart: IsolationSlot,
    /// How many slots are reserved for pulls.
    pub reserved: u32,
    /// Until when its last announcement holds.
    pub live_until: Duration,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Tells its slots from earlier ones under the same name.
    pub generation: u64,
}

impl UpstreamSlots {
    fn new(pool: PoolName, generation: u64, now: Duration, news: News) -> Self {
        Self {
            pool,
            generation,
            window: ConcurrencyWindow::new(news.targets),
            health: UpstreamHealth::new(now),
            version: VersionShift::new(1.0),
            apart: IsolationSlot::new(),
            reserved: 0,
            live_until: news.live_until,
            leaving: news.leaving,
        }
    }

    /// Slots that are used at all, free or not; none while it is leaving or silent.
    #[must_use]
    pub fn usable(&self, now: Duration) -> u32 {
        if self.leaving || self.live_until <= now {
            return 0;
        }
        let share = self.health.share(now) * self.version.share(now);
        usable_slots(self.window.limit(), share)
    }

    /// It serves another version from now on, which gets its work at a stated rate: a version that
    /// is bad has by then been seen to be with little of the work.
    pub fn change_version(&mut self, now: Duration) {
        self.version = VersionShift::new(0.0);
        self.version.set_target(1.0, now);
    }

    /// Slots that may be given out now.
    #[must_use]
    pub fn free(&self, now: Duration) -> u32 {
        let held = self.window.in_flight() + self.reserved;
        self.usable(now).saturating_sub(held)
    }

    fn hear(&mut self, now: Duration, news: News) {
        self.live_until = news.live_until;
        if news.leaving && !self.leaving {
            self.health.on_event(HealthEvent::Leaving, now);
        }
        if !news.leaving && self.leaving {
            // It stays after all, or has loaded what its pool needs: its caches are cold, so it gets
            // its work back by the ramp of an upstream that was down.
            self.health = UpstreamHealth::new(now);
            self.health.on_event(HealthEvent::Down, now);
        }
        self.leaving = news.leaving;
        self.health.on_event(HealthEvent::Heartbeat, now);
        // The first announcement may come before the first configuration, which states the targets.
        self.window.set_targets(news.targets);
        self.window.on_load_report(news.reported, news.queued);
    }
}

/// Every upstream beside one sidecar.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    generations: u64,
    upstreams: BTreeMap<UpstreamName, UpstreamSlots>,
}

impl UpstreamTable {
    /// Takes in an announcement: a new upstream, or news of a known one.
    ///
    /// An upstream that comes back under another pool starts over: its window was found for another
    /// kind of work. Runs that it still has belong to the slots of before, by their generation:
    /// counted off from the new ones, they would free slots that were never taken.
    pub fn announce(&mut self, now: Duration, name: UpstreamName, pool: PoolName, news: News) {
        let known = self.upstreams.get_mut(&name);
        match known {
            Some(slots) if slots.pool == pool => slots.hear(now, news),
            _ => {
                self.generations += 1;
                let slots = UpstreamSlots::new(pool, self.generations, now, news);
                self.upstreams.insert(name, slots);
            }
        }
    }

    /// Lets windows and health move on with time.
    pub fn tick(&mut self, now: Duration) {
        for slots in self.upstreams.values_mut() {
            slots.window.on_tick(now);
        }
    }

    /// Free slots of a pool.
    #[must_use]
    pub fn free(&self, now: Duration, pool: &PoolName) -> u32 {
        self.of_pool(pool).map(|(_, slots)| slots.free(now)).sum()
    }

    /// Slots of a pool in all, free or not.
    #[must_use]
    pub fn usable(&self, now: Duration, pool: &PoolName) -> u32 {
        self.of_pool(pool).map(|(_, slots)| slots.usable(now)).sum()
    }

    /// The upstream of a pool with the most free slots.
    #[must_use]
    pub fn freest(&self, now: Duration, pool: &PoolName) -> Option<UpstreamName> {
        self.of_pool(pool)
            .map(|(name, slots)| (slots.free(now), name))
            .filter(|(free, _)| *free > 0)
            .max_by_key(|(free, _)| *free)
            .map(|(_, name)| name.clone())
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

    /// The slots that something was counted on, to be counted off; none when they are gone.
    pub(super) fn of_generation(
        &mut self,
        name: &UpstreamName,
        generation: u64,
    ) -> Option<&mut UpstreamSlots> {
        let slots = self.upstreams.get_mut(name);
        slots.filter(|slots| slots.generation == generation)
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

    /// Forgets upstreams that are silent and hold nothing.
    pub fn forget_silent(&mut self, now: Duration) {
        self.upstreams.retain(|_, slots| {
            slots.live_until > now || slots.window.in_flight() + slots.reserved > 0
        });
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
