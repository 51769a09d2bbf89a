//! Reservations of slots for pulls.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootnotch_decide::estimate::RunCharge;
use coltsfootnotch_types::prelude::*;

/// How long a slot stays reserved for a pull.
///
/// It covers a round trip between regions and, for a call that may not be repeated, the commit of
/// its intent; a lost connection frees the slot earlier.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// A slot reserved for one pull.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The entry that the pull was sent to.
    pub entry: HostName,
    /// The first account that the pull names.
    pub account: AccountName,
    /// The pool.
    pub pool: PoolName,
    /// The upstream that has the slot.
    pub upstream: UpstreamName,
    /// The upstream's generation of slots.
    pub generation: u64,
    /// When the reservation expires.
    pub until: Duration,
    /// What the account is charged until the pull is answered, so that slots that become free
    /// together don't all pull for the same account.
    pub charge: RunCharge,
}

/// Reservations of one sidecar incarnation.
///
/// A pull number is issued once and starts at most one attempt, even if messages are late or
/// repeated.
#[derive(Debug, Default)]
pub struct PullTable {
    next: u64,
    reserved: BTreeMap<u64, Reservation>,
    in_flight: HashMap<PullTarget, u32>,
}

/// Pool, account and entry of a pull.
type PullTarget = (PoolName, AccountName, HostName);

impl PullTable {
    /// Adds a reservation and returns the pull's number.
    pub fn reserve(&mut self, reservation: Reservation) -> u64 {
        let pull = self.next;
        self.next += 1;
        *self.in_flight.entry(reservation.target()).or_insert(0) += 1;
        self.reserved.insert(pull, reservation);
        pull
    }

    /// Uses a pull to start an attempt; `None` if it was used or released, or has expired.
    pub fn take(&mut self, now: Duration, pull: u64) -> Option<Reservation> {
        // An expired reservation stays until `expire` returns it, so that its slot is freed.
        if self.reserved.get(&pull)?.until <= now {
            return None;
        }
        self.release(pull)
    }

    /// Removes a reservation.
    pub fn release(&mut self, pull: u64) -> Option<Reservation> {
        let reservation = self.reserved.remove(&pull)?;
        self.decrement(&reservation);
        Some(reservation)
    }

    /// Removes and returns the reservations that have expired or belong to the `disconnected`
    /// entry.
    pub fn expire(
        &mut self,
        now: Duration,
        disconnected: Option<&HostName>,
    ) -> Vec<(u64, Reservation)> {
        let has_ended = |reservation: &Reservation| {
            reservation.until <= now || disconnected == Some(&reservation.entry)
        };
        let pulls: Vec<u64> = self
            .reserved
            .iter()
            .filter(|(_, reservation)| has_ended(reservation))
            .map(|(pull, _)| *pull)
            .collect();
        pulls
            .into_iter()
            .filter_map(|pull| Some((pull, self.release(pull)?)))
            .collect()
    }

    /// Number of unanswered pulls for an account of a pool at an entry.
    #[must_use]
    pub fn in_flight(&self, pool: &PoolName, account: &AccountName, entry: &HostName) -> u32 {
        let key = (pool.clone(), account.clone(), entry.clone());
        self.in_flight.get(&key).copied().unwrap_or(0)
    }

    fn decrement(&mut self, reservation: &Reservation) {
        let key = reservation.target();
        if let Some(count) = self.in_flight.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&key);
            }
        }
    }
}

impl Reservation {
    fn target(&self) -> PullTarget {
        (self.pool.clone(), self.account.clone(), self.entry.clone())
    }
}
