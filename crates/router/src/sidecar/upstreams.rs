//! The upstreams beside a sidecar and their slots.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_decide::crash::IsolationSlot;
use coltsfootnotch_decide::route::{HealthEvent, UpstreamHealth, VersionShift, usable_slots};
use coltsfootnotch_decide::window::{ConcurrencyWindow, WindowTargets};
use coltsfootnotch_types::prelude::*;

/// The part of an announcement that concerns an upstream's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamUpdate {
    /// When the announcement expires.
    pub live_until: Duration,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Requests queued inside the upstream, as it reports.
    pub queued: u32,
    /// When the report was made.
    pub reported: Duration,
    /// Target times of its concurrency window.
    pub targets: WindowTargets,
}

/// Slots and state of one upstream.
#[derive(Debug)]
pub struct UpstreamSlots {
    /// Its pool.
    pub pool: PoolName,
    /// Limit on its concurrent requests.
    pub window: ConcurrencyWindow,
    /// Its health, which scales the usable part of the window.
    pub health: UpstreamHealth,
    /// Rollout of the version that it serves, which scales the usable part of the window.
    pub version: VersionShift,
    /// Admits at most one crash suspect at a time.
    pub isolation: IsolationSlot,
    /// Number of slots reserved for pulls.
    pub reserved: u32,
    /// When its last announcement expires.
    pub live_until: Duration,
    /// Whether it is leaving.
    pub leaving: bool,
    /// End of the time for which it asked for no requests.
    backoff_until: Duration,
    /// Distinguishes its slots from earlier ones under the same name.
    pub generation: u64,
}

impl UpstreamSlots {
    fn new(pool: PoolName, generation: u64, now: Duration, update: UpstreamUpdate) -> Self {
        Self {
            pool,
            generation,
            window: ConcurrencyWindow::new(update.targets),
            health: UpstreamHealth::new(now),
            version: VersionShift::new(1.0),
            isolation: IsolationSlot::new(),
            reserved: 0,
            live_until: update.live_until,
            leaving: update.leaving,
            backoff_until: Duration::ZERO,
        }
    }

    /// Usable slots, free or not; zero while it is leaving, wants no requests, or its announcement has
    /// expired.
    #[must_use]
    pub fn usable(&self, now: Duration) -> u32 {
        if self.leaving || now < self.backoff_until || self.live_until <= now {
            return 0;
        }
        let share = self.health.share(now) * self.version.share(now);
        usable_slots(self.window.limit(), share)
    }

    /// Records that it wants no requests for `time`. Returns whether it took requests until now, and does
    /// not any more.
    pub fn request_backoff(&mut self, now: Duration, time: Duration) -> bool {
        let accepted = self.backoff_until <= now;
        self.backoff_until = self.backoff_until.max(now.saturating_add(time));
        accepted && now < self.backoff_until
    }

    /// Starts the gradual rollout of another version that the upstream serves from now on, so that
    /// a bad version fails few requests before it is noticed.
    pub fn on_version_change(&mut self, now: Duration) {
        self.version = VersionShift::new(0.0);
        self.version.set_target(1.0, now);
    }

    /// Slots that may be used or reserved now.
    #[must_use]
    pub fn free(&self, now: Duration) -> u32 {
        let held = self.window.in_flight() + self.reserved;
        self.usable(now).saturating_sub(held)
    }

    /// Returns work gradually, as to an upstream that was down: its caches may be cold.
    fn restart_ramp(&mut self, now: Duration) {
        self.health = UpstreamHealth::new(now);
        self.health.on_event(HealthEvent::Down, now);
    }

    fn apply(&mut self, now: Duration, update: UpstreamUpdate) {
        self.live_until = update.live_until;
        if update.leaving && !self.leaving {
            self.health.on_event(HealthEvent::Leaving, now);
        }
        if !update.leaving && self.leaving {
            self.restart_ramp(now);
        }
        self.leaving = update.leaving;
        self.health.on_event(HealthEvent::Heartbeat, now);
        // The first announcement may arrive before the configuration that sets the targets.
        self.window.set_targets(update.targets);
        self.window.on_load_report(update.reported, update.queued);
    }
}

/// All upstreams beside one sidecar.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    generations: u64,
    upstreams: BTreeMap<UpstreamName, UpstreamSlots>,
}

impl UpstreamTable {
    /// Applies an announcement to a new or existing upstream.
    ///
    /// An upstream that changes its pool starts with new slots, since its window was fitted to
    /// other work. Its current runs belong to the previous generation of slots: counted on the new
    /// ones, their ends free slots that were never taken.
    pub fn apply_announcement(
        &mut self,
        now: Duration,
        name: UpstreamName,
        pool: PoolName,
        update: UpstreamUpdate,
    ) {
        let existing = self.upstreams.get_mut(&name);
        match existing {
            Some(slots) if slots.pool == pool => slots.apply(now, update),
            _ => {
                self.generations += 1;
                let slots = UpstreamSlots::new(pool, self.generations, now, update);
                self.upstreams.insert(name, slots);
            }
        }
    }

    /// Advances the concurrency windows to `now`.
    pub fn tick(&mut self, now: Duration) {
        for slots in self.upstreams.values_mut() {
            slots.window.on_tick(now);
        }
    }

    /// Number of free slots of a pool.
    #[must_use]
    pub fn free(&self, now: Duration, pool: &PoolName) -> u32 {
        self.of_pool(pool).map(|(_, slots)| slots.free(now)).sum()
    }

    /// Number of usable slots of a pool, free or not.
    #[must_use]
    pub fn usable(&self, now: Duration, pool: &PoolName) -> u32 {
        self.of_pool(pool).map(|(_, slots)| slots.usable(now)).sum()
    }

    /// The upstream of a pool with the most free slots; `None` if it has no free slot.
    #[must_use]
    pub fn with_most_free(&self, now: Duration, pool: &PoolName) -> Option<UpstreamName> {
        self.of_pool(pool)
            .map(|(name, slots)| (slots.free(now), name))
            .filter(|(free, _)| *free > 0)
            .max_by_key(|(free, _)| *free)
            .map(|(_, name)| name.clone())
    }

    /// Number of live upstreams that are not leaving, by pool.
    #[must_use]
    pub fn pools(&self, now: Duration) -> BTreeMap<PoolName, u32> {
        let mut pools = BTreeMap::new();
        for slots in self.upstreams.values() {
            let live = slots.live_until > now && !slots.leaving;
            *pools.entry(slots.pool.clone()).or_insert(0) += u32::from(live);
        }
        pools
    }

    /// One upstream, mutable.
    pub fn get_mut(&mut self, name: &UpstreamName) -> Option<&mut UpstreamSlots> {
        self.upstreams.get_mut(name)
    }

    /// The slots of an upstream, if they are still of the given generation.
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

    /// Returns work gradually to all upstreams, as to ones that were down.
    pub fn restart_ramps(&mut self, now: Duration) {
        for slots in self.upstreams.values_mut() {
            slots.restart_ramp(now);
        }
    }

    /// Removes upstreams without a valid announcement, running request or reservation.
    pub fn remove_expired(&mut self, now: Duration) {
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
