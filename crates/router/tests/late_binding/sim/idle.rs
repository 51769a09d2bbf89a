//! Capacity never idles while work waits that it may take.

use std::time::Duration;

use super::{Request, Sim, Stage};

/// Longest that a request may wait while a slot that may take it has been free all the time: a
/// round trip of the slowest link for the news of it, one for the pull, and a round of the daemons.
pub(crate) const IDLE_BOUND: Duration = Duration::from_millis(200);

impl Sim {
    /// Asserts that no request waits while a slot that may take it stays free.
    pub(super) fn check_idle(&mut self) {
        let now = self.now;
        for s in 0..self.sidecars.len() {
            let sidecar = &mut self.sidecars[s];
            let pool = sidecar.engine.announced.clone();
            let is_free = !sidecar.leaving && sidecar.core.upstreams().free(now, &pool) > 0;
            let known = sidecar.free_since.take();
            let known = known.filter(|(_, of)| is_free && *of == pool);
            let since = known.map_or(now, |(since, _)| since);
            sidecar.free_since = is_free.then(|| (since, pool.clone()));
            if !is_free || now - since <= IDLE_BOUND {
                continue;
            }
            for (e, entry) in self.entries.iter().enumerate() {
                let link = self.links[e][s];
                let agreed = link.at_entry == link.id && link.at_sidecar == link.id;
                let up = !link.cut && agreed && now - link.up_since > IDLE_BOUND;
                let waits = |r: &&Request| {
                    let Stage::Waiting { since } = r.stage else {
                        return false;
                    };
                    let long = now - since > IDLE_BOUND && r.waiting.deadline > now;
                    let allowed = !r.waiting.avoid.contains(&self.sidecars[s].host) && !r.suspect;
                    long && allowed && r.waiting.pool == pool
                };
                let idle = up.then(|| entry.requests.values().find(waits)).flatten();
                assert!(
                    idle.is_none(),
                    "at {now:?} {:?} waits at entry {e} while sidecar {s} is free since {since:?}",
                    idle.map(|r| &r.waiting),
                );
            }
        }
    }
}
