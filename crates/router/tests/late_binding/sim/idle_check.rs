//! Asserts that no slot idles while a request waits that may use it.

use std::time::Duration;

use coltsfootnotch_types::prelude::*;

use super::{Request, Sim, Stage};

/// Longest time that a request may wait beside a free slot: one round trip of the slowest link for
/// the update, one for the pull, and a tick of the daemons.
const FREE_BOUND: Duration = Duration::from_millis(200);
/// The same for slots that are free or reserved; in a busy pool some slot is reserved most of the
/// time. It is not checked with unreachable upstreams or crash suspects, whose refused starts keep
/// slots reserved.
const UNFILLED_BOUND: Duration = Duration::from_millis(600);

/// Since when a sidecar has an idle slot, and its pool.
pub(crate) type Since = Option<(Duration, PoolName)>;

impl Sim {
    /// Asserts that no request waits while a slot that it may use stays free or reserved.
    pub(super) fn check_idle_slots(&mut self) {
        for s in 0..self.sidecars.len() {
            let sidecar = &mut self.sidecars[s];
            let pool = sidecar.engine.announced.clone();
            let slots = sidecar.core.upstreams();
            let held: u32 = slots.iter().map(|(_, u)| u.window.in_flight()).sum();
            let is_free = slots.free(self.now, &pool) > 0;
            let is_unfilled = slots.usable(self.now, &pool) > held;
            update_since(&mut sidecar.free_since, is_free, self.now, &pool);
            update_since(&mut sidecar.unfilled_since, is_unfilled, self.now, &pool);
            self.check_sidecar(s, &pool);
        }
    }

    fn check_sidecar(&self, s: usize, pool: &PoolName) {
        let sidecar = &self.sidecars[s];
        let exceeds = |since: &Since, bound| {
            let since = since.as_ref().map(|(since, _)| *since);
            since.is_some_and(|since| self.now - since > bound)
        };
        let is_connected = |e: usize, bound| {
            let link = self.links[e][s];
            let agreed = link.at_entry == link.id && link.at_sidecar == link.id;
            !link.cut && agreed && self.now - link.up_since > bound
        };
        let all_connected = (0..self.entries.len()).all(|e| is_connected(e, UNFILLED_BOUND));
        let no_suspects = self.sources.iter().all(|source| source.suspects == 0.0);
        let no_refusals = no_suspects && self.options.unreachable == 0.0;
        let unfilled =
            no_refusals && all_connected && exceeds(&sidecar.unfilled_since, UNFILLED_BOUND);
        let free = exceeds(&sidecar.free_since, FREE_BOUND);
        for (e, entry) in self.entries.iter().enumerate() {
            let overdue = |bound| {
                entry
                    .requests
                    .values()
                    .find(|r| self.is_overdue(r, s, pool, bound))
            };
            let beside_free = (free && is_connected(e, FREE_BOUND)).then(|| overdue(FREE_BOUND));
            let beside_unfilled = unfilled.then(|| overdue(UNFILLED_BOUND));
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

    /// Whether a request has waited for longer than `bound` and may run at a sidecar. Requests of
    /// an account with crash suspects are exempt: they may wait until each suspect is in backoff.
    fn is_overdue(&self, r: &Request, s: usize, pool: &PoolName, bound: Duration) -> bool {
        let Stage::Waiting { since } = r.stage else {
            return false;
        };
        let has_waited = self.now - since > bound && r.waiting.deadline > self.now;
        let allowed = !r.waiting.avoid.contains(&self.sidecars[s].host)
            && self.sources[r.source].suspects == 0.0;
        has_waited && allowed && r.waiting.pool == *pool
    }
}

fn update_since(since: &mut Since, holds: bool, now: Duration, pool: &PoolName) {
    let before = since.take().filter(|(_, of)| holds && of == pool);
    *since = before.or_else(|| holds.then(|| (now, pool.clone())));
}
