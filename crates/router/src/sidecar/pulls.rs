//! Slots reserved for pulls.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootnotch_decide::estimate::RunCharge;
use coltsfootnotch_types::prelude::*;

/// How long a slot stays reserved for a pull.
///
/// It covers a round trip between regions and, for a call that may not be repeated, the commit of
/// its intent; a cut connection frees the slot earlier.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// A slot reserved for one pull.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reserved {
    /// The entry that was asked.
    pub entry: HostName,
    /// The account that was furthest behind.
    pub account: AccountName,
    /// The pool.
    pub pool: PoolName,
    /// The upstream that has the slot.
    pub upstream: UpstreamName,
    /// Which slots of that upstream.
    pub generation: u64,
    /// When the reservation ends.
    pub until: Duration,
    /// What the account is charged while the slot waits for its work: slots that come free together
    /// would otherwise all ask for the same account.
    pub charge: RunCharge,
}

/// Reservations of one sidecar run.
///
/// A pull number is given out once and starts at most one attempt, whatever is resent or late.
#[derive(Debug, Default)]
pub struct PullTable {
    next: u64,
    reserved: BTreeMap<u64, Reserved>,
    asked: HashMap<AskedOf, u32>,
}

/// What a pull asks for: pool, account and entry.
type AskedOf = (PoolName, AccountName, HostName);

impl PullTable {
    /// Reserves a slot; gives the pull's number.
    pub fn reserve(&mut self, reserved: Reserved) -> u64 {
        let pull = self.next;
        self.next += 1;
        *self.asked.entry(reserved.asked_of()).or_insert(0) += 1;
        self.reserved.insert(pull, reserved);
        pull
    }

    /// Uses a pull to start an attempt; none when it was used, ended or expired before.
    pub fn take(&mut self, now: Duration, pull: u64) -> Option<Reserved> {
        // One that has expired stays until it is ended with the others, which frees its slot.
        if self.reserved.get(&pull)?.until <= now {
            return None;
        }
        self.release(pull)
    }

    /// Ends a reservation that nothing will use.
    pub fn release(&mut self, pull: u64) -> Option<Reserved> {
        let reserved = self.reserved.remove(&pull)?;
        self.count_off(&reserved);
        Some(reserved)
    }

    /// Ends the reservations that have expired, or were asked of `gone`.
    pub fn expire(&mut self, now: Duration, gone: Option<&HostName>) -> Vec<(u64, Reserved)> {
        let ended = |reserved: &Reserved| reserved.until <= now || gone == Some(&reserved.entry);
        let pulls: Vec<u64> = self
            .reserved
            .iter()
            .filter(|(_, reserved)| ended(reserved))
            .map(|(pull, _)| *pull)
            .collect();
        pulls
            .into_iter()
            .filter_map(|pull| Some((pull, self.release(pull)?)))
            .collect()
    }

    /// Pulls on their way for an account of a pool at an entry.
    #[must_use]
    pub fn asked(&self, pool: &PoolName, account: &AccountName, entry: &HostName) -> u32 {
        let key = (pool.clone(), account.clone(), entry.clone());
        self.asked.get(&key).copied().unwrap_or(0)
    }

    fn count_off(&mut self, reserved: &Reserved) {
        let key = reserved.asked_of();
        if let Some(asked) = self.asked.get_mut(&key) {
            *asked -= 1;
            if *asked == 0 {
                self.asked.remove(&key);
            }
        }
    }
}

impl Reserved {
    fn asked_of(&self) -> AskedOf {
        (self.pool.clone(), self.account.clone(), self.entry.clone())
    }
}
