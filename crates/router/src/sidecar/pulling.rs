//! Pulls: the choice of account and entry for a free slot.

use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::FromSidecar;

use super::{PULL_TIMEOUT, Reservation, SidecarAction, SidecarCore};

/// Number of accounts that a pull names. Another sidecar may have taken the last request of the
/// first one, and a second keeps most pulls of a saturated pool from being answered with nothing.
const RANKED_ACCOUNTS: usize = 2;

impl SidecarCore {
    /// Reserves a free slot of a pool and sends a pull for it. Returns false if the pool has no
    /// free slot or no waiting work.
    pub(super) fn pull_one(&mut self, now: Duration, pool: &PoolName) -> bool {
        if !self.accepts_work() {
            return false;
        }
        let Some(upstream) = self.upstreams.with_most_free(now, pool) else {
            return false;
        };
        let in_flight =
            |account: &AccountName, entry: &HostName| self.pulls.in_flight(pool, account, entry);
        let choice = self.ledger.ranked(pool).find_map(|account| {
            let entry = self
                .waits
                .entry_for(pool, account, |entry| in_flight(account, entry))?;
            Some((account.clone(), entry))
        });
        let Some((account, entry)) = choice else {
            return false;
        };
        let from_choice = self
            .ledger
            .ranked(pool)
            .skip_while(|ranked| **ranked != account);
        let waiting_at_entry =
            from_choice.filter(|ranked| self.waits.has_waiting_at(pool, ranked, &entry));
        let accounts = waiting_at_entry.take(RANKED_ACCOUNTS).cloned().collect();
        let Some(slots) = self.upstreams.get_mut(&upstream) else {
            return false;
        };
        slots.reserved += 1;
        let generation = slots.generation;
        self.waits.record_pull(pool, &account, &entry);
        let pool = pool.clone();
        let until = now + PULL_TIMEOUT;
        let charge = self.ledger.start(&account, None);
        let reservation = Reservation {
            entry: entry.clone(),
            account,
            pool: pool.clone(),
            upstream,
            generation,
            until,
            charge,
        };
        let pull = self.pulls.reserve(reservation);
        let message = FromSidecar::Pull {
            pull,
            pool,
            accounts,
        };
        self.actions
            .push(SidecarAction::Send { to: entry, message });
        true
    }

    pub(super) fn unreserve(&mut self, reservation: Reservation) {
        self.ledger.refund(reservation.charge);
        let (upstream, generation) = (&reservation.upstream, reservation.generation);
        if let Some(slots) = self.upstreams.of_generation(upstream, generation) {
            assert!(
                slots.reserved > 0,
                "a reservation of {upstream} is released twice"
            );
            slots.reserved -= 1;
        }
    }

    pub(super) fn expire_pulls(&mut self, now: Duration, disconnected: Option<&HostName>) {
        for (_, reservation) in self.pulls.expire(now, disconnected) {
            self.unreserve(reservation);
        }
    }
}
