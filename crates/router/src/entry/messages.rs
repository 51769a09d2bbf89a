//! What an entry hears from its sidecars.

use std::time::Duration;

use coltsfootnotch_decide::route::PrefixKey;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{BeginCause, FromSidecar};

use super::EntryCore;

impl EntryCore {
    /// Takes in a message from a sidecar.
    pub fn on_message(&mut self, now: Duration, from: &HostName, message: FromSidecar) {
        match message {
            FromSidecar::Free {
                pool,
                slots,
                usable,
                cached,
            } => {
                self.learn_prefixes(now, from, &cached);
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
                self.retell_avoiding(&pool);
            }
            // What crashes say of a request is weighed before it is submitted.
            FromSidecar::Crashed(_)
            | FromSidecar::Cleared { .. }
            | FromSidecar::Disowned { .. } => {}
        }
    }

    fn learn_prefixes(&mut self, now: Duration, from: &HostName, cached: &[u64]) {
        let Some(view) = self.sidecars.get(from) else {
            return;
        };
        for prefix in cached {
            self.prefixes
                .on_cached(PrefixKey(*prefix), &view.route, now);
        }
    }

    fn on_free(&mut self, now: Duration, from: &HostName, pool: &PoolName, slots: u32, all: u32) {
        let Some(view) = self.sidecars.get_mut(from) else {
            return;
        };
        let is_new = !view.serves(pool);
        let known = view.pools.entry(pool.clone()).or_default();
        let has_more = slots > known.free;
        known.free = slots;
        known.usable = all;
        if has_more && !is_new {
            self.retell_for_more_slots(from, pool);
        }
        if is_new {
            self.tell_all_of(now, from, pool);
            self.retell_avoiding(pool);
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
        let mut named = accounts.iter();
        let taken = named.find_map(|account| self.take_for(now, from, pool, account));
        let Some(waiting) = taken else {
            return self.answer_nothing(now, from, pull, pool, accounts);
        };
        self.numbers.remove(&waiting.request);
        self.mark(&waiting);
        self.begin(now, from, sidecar, BeginCause::Pull { pull }, waiting);
    }
}
