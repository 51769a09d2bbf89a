//! Handling of messages from sidecars.

use std::time::Duration;

use coltsfootnotch_decide::route::PrefixKey;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromSidecar, OpenCause};

use super::EntryCore;

impl EntryCore {
    /// Handles a message from a sidecar.
    pub fn on_message(&mut self, now: Duration, from: &HostName, message: FromSidecar) {
        match message {
            FromSidecar::FreeSlots {
                pool,
                slots,
                usable,
                cached,
            } => {
                self.record_prefixes(now, from, &cached);
                self.on_free(now, from, &pool, slots, usable);
            }
            FromSidecar::Pull {
                pull,
                pool,
                accounts,
            } => self.on_pull(now, from, pull, &pool, &accounts),
            FromSidecar::NotServed { pool } => {
                if let Some(view) = self.sidecars.get_mut(from) {
                    view.pools.remove(&pool);
                }
                self.mark_avoiding(&pool);
            }
            // Handled by the daemon, which checks requests against crashes before it submits them.
            FromSidecar::Crashed(_)
            | FromSidecar::Cleared { .. }
            | FromSidecar::AttemptClosed { .. } => {}
        }
    }

    fn record_prefixes(&mut self, now: Duration, from: &HostName, cached: &[u64]) {
        let Some(view) = self.sidecars.get(from) else {
            return;
        };
        for prefix in cached {
            self.prefixes
                .on_cached(PrefixKey(*prefix), &view.routing_name, now);
        }
    }

    fn on_free(
        &mut self,
        now: Duration,
        from: &HostName,
        pool: &PoolName,
        slots: u32,
        usable: u32,
    ) {
        let Some(view) = self.sidecars.get_mut(from) else {
            return;
        };
        let is_new = !view.has_pool(pool);
        let pool_view = view.pools.entry(pool.clone()).or_default();
        let has_more = slots > pool_view.free;
        pool_view.free = slots;
        pool_view.usable = usable;
        if has_more && !is_new {
            self.mark_for_more_slots(from, pool);
        }
        if is_new {
            self.send_all_waits(now, from, pool);
            self.mark_avoiding(pool);
        }
    }

    fn on_pull(
        &mut self,
        now: Duration,
        from: &HostName,
        pull: u64,
        pool: &PoolName,
        accounts: &[AccountName],
    ) {
        let Some(view) = self.sidecars.get(from) else {
            return;
        };
        let sidecar = view.incarnation;
        let mut candidates = accounts.iter();
        let taken = candidates.find_map(|account| self.take_for(now, from, pool, account));
        let Some(waiting) = taken else {
            return self.answer_empty_pull(now, from, pull, pool, accounts);
        };
        self.pending.remove(&waiting.request);
        self.mark_changed(&waiting);
        self.open_attempt(now, from, sidecar, OpenCause::Pull { pull }, waiting);
    }
}
