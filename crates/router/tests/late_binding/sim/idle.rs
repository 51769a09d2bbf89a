//! Capacity never idles while work waits that it may take.

use std::time::Duration;

use coltsfootnotch_types::prelude::*;

use super::{Request, Sim, Stage};

/// Longest that a request may wait while a slot that may take it has been free all the time: a
/// round trip of the slowest link for the news of it, one for the pull, and a round of the daemons.
const FREE_BOUND: Duration = Duration::from_millis(200);
/// The same for slots that are free or reserved: pulls come and go, for bookings with their intents,
/// so that in a busy pool some slot is reserved most of the time. Where starts are sent back, by
/// upstreams out of reach or suspects of crashes, slots are reserved again and again: not checked.
const UNFILLED_BOUND: Duration = Duration::from_millis(600);

/// Since when a sidecar has a slot that is not filled, and of which pool.
pub(crate) type Since = Option<(Duration, PoolName)>;

impl Sim {
    /// Asserts that no request waits while a slot that may take it stays free or reserved.
    pub(super) fn check_idle(&mut self) {
        for s in 0..self.sidecars.len() {
            let sidecar = &mut self.sidecars[s];
            let pool = sidecar.engine.announced.clone();
            let slots = sidecar.core.upstreams();
            let held: u32 = slots.iter().map(|(_, u)| u.window.in_flight()).sum();
            let is_free = slots.free(self.now, &pool) > 0;
            let is_unfilled = slots.usable(self.now, &pool) > held;
            follow(&mut sidecar.free_since, is_free, self.now, &pool);
            follow(&mut sidecar.unfilled_since, is_unfilled, self.now, &pool);
            self.check_sidecar(s, &pool);
        }
    }

    fn check_sidecar(&self, s: usize, pool: &PoolName) {
        let sidecar = &self.sidecars[s];
        let long = |since: &Since, bound| {
            let since = since.as_ref().map(|(since, _)| *since);
            since.is_some_and(|since| self.now - since > bound)
        };
        let linked = |e: usize, bound| {
            let link = self.links[e][s];
            let agreed = link.at_entry == link.id && link.at_sidecar == link.id;
            !link.cut && agreed && self.now - link.up_since > bound
        };
        let all_linked = (0..self.entries.len()).all(|e| linked(e, UNFILLED_BOUND));
        let no_suspects = self.sources.iter().all(|source| source.suspects == 0.0);
        let plain = no_suspects && self.options.unreachable == 0.0;
        let unfilled = plain && all_linked && long(&sidecar.unfilled_since, UNFILLED_BOUND);
        let free = long(&sidecar.free_since, FREE_BOUND);
        for (e, entry) in self.entries.iter().enumerate() {
            let waits = |bound| {
                entry
                    .requests
                    .values()
                    .find(|r| self.waits(r, s, pool, bound))
            };
            let beside_free = (free && linked(e, FREE_BOUND)).then(|| waits(FREE_BOUND));
            let beside_unfilled = unfilled.then(|| waits(UNFILLED_BOUND));
            let idle = beside_free.flatten().or(beside_unfilled.flatten());
            assert!(
                idle.is_none(),
                "at {:?} {:?} waits at entry {e} while sidecar {s} has slots, free since {:?}",
                self.now,
                idle.map(|r| &r.waiting),
                sidecar.free_since,
            );
        }
    }

    /// Whether a request has waited for longer than `bound` and may run at a sidecar. One of an
    /// account with suspects may have to wait until each of these has tried a slot and was held back.
    fn waits(&self, r: &Request, s: usize, pool: &PoolName, bound: Duration) -> bool {
        let Stage::Waiting { since } = r.stage else {
            return false;
        };
        let long = self.now - since > bound && r.waiting.deadline > self.now;
        let allowed = !r.waiting.avoid.contains(&self.sidecars[s].host)
            && self.sources[r.source].suspects == 0.0;
        long && allowed && r.waiting.pool == *pool
    }
}

fn follow(known: &mut Since, is_so: bool, now: Duration, pool: &PoolName) {
    let before = known.take().filter(|(_, of)| is_so && of == pool);
    *known = before.or_else(|| is_so.then(|| (now, pool.clone())));
}
