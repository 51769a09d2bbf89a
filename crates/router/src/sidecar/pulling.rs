//! Whose work a free slot is filled with.

use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::FromSidecar;

use super::{PULL_TIMEOUT, Reserved, SidecarAction, SidecarCore};

/// How many accounts a pull names: the first may have been emptied by another sidecar meanwhile. With
/// a second one, hardly any pull of a saturated pool goes without an answer.
const RANKED_ACCOUNTS: usize = 2;

impl SidecarCore {
    /// Reserves a free slot of a pool and asks for work; whether there was a slot and work to ask for.
    pub(super) fn pull_one(&mut self, now: Duration, pool: &PoolName) -> bool {
        if self.leaving {
            return false;
        }
        let Some(upstream) = self.upstreams.freest(now, pool) else {
            return false;
        };
        let asked =
            |account: &AccountName, entry: &HostName| self.pulls.asked(pool, account, entry);
        let choice = self.fair.ranked(pool).find_map(|account| {
            let entry = self
                .waits
                .entry_for(pool, account, |entry| asked(account, entry))?;
            Some((account.clone(), entry))
        });
        let Some((account, entry)) = choice else {
            return false;
        };
        let from_choice = self
            .fair
            .ranked(pool)
            .skip_while(|ranked| **ranked != account);
        let at_entry = from_choice.filter(|ranked| self.waits.waits_at(pool, ranked, &entry));
        let accounts = at_entry.take(RANKED_ACCOUNTS).cloned().collect();
        let Some(slots) = self.upstreams.get_mut(&upstream) else {
            return false;
        };
        slots.reserved += 1;
        let generation = slots.generation;
        self.waits.note_asked(pool, &account, &entry);
        let pool = pool.clone();
        let until = now + PULL_TIMEOUT;
        let charge = self.fair.start(&account, None);
        let reserved = Reserved {
            entry: entry.clone(),
            account,
            pool: pool.clone(),
            upstream,
            generation,
            until,
            charge,
        };
        let pull = self.pulls.reserve(reserved);
        let message = FromSidecar::Pull {
            pull,
            pool,
            accounts,
        };
        self.actions
            .push(SidecarAction::Send { to: entry, message });
        true
    }

    pub(super) fn unreserve(&mut self, reserved: Reserved) {
        self.fair.refund(reserved.charge);
        let (upstream, generation) = (&reserved.upstream, reserved.generation);
        if let Some(slots) = self.upstreams.of_generation(upstream, generation) {
            assert!(slots.reserved > 0, "a slot of {upstream} is freed twice");
            slots.reserved -= 1;
        }
    }

    pub(super) fn end_pulls(&mut self, now: Duration, gone: Option<&HostName>) {
        for (_, reserved) in self.pulls.expire(now, gone) {
            self.unreserve(reserved);
        }
    }
}
