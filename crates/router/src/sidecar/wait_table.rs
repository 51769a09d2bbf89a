//! Waiting requests at the entries, as they have reported them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::AccountWait;

/// Waiting requests of an account, by entry.
type ByEntry = BTreeMap<HostName, EntryWait>;

/// Waiting requests of an account at one entry.
#[derive(Debug)]
struct EntryWait {
    count: u32,
    since: Duration,
    /// Sequence number of the last pull from the entry.
    last_pull: u64,
}

/// Waiting requests of an account that remain after an entry was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemainingWait {
    /// The pool.
    pub pool: PoolName,
    /// The account.
    pub account: AccountName,
    /// Number of its requests at other entries.
    pub count: u32,
    /// When the oldest of them arrived.
    pub oldest: Duration,
}

/// Waiting requests by pool, account and entry.
#[derive(Debug, Default)]
pub struct WaitTable {
    pools: BTreeMap<PoolName, BTreeMap<AccountName, ByEntry>>,
    pulls: u64,
}

impl WaitTable {
    /// Applies an entry's report on an account. Returns the account's number of waiting requests at
    /// all entries, and the arrival of the oldest.
    pub fn update(
        &mut self,
        now: Duration,
        entry: &HostName,
        pool: &PoolName,
        wait: &AccountWait,
    ) -> (u32, Duration) {
        let accounts = self.pools.entry(pool.clone()).or_default();
        let entries = accounts.entry(wait.account.clone()).or_default();
        if wait.count == 0 {
            entries.remove(entry);
        } else {
            let since = now.saturating_sub(Duration::from_millis(wait.oldest_ms));
            let last_pull = entries.get(entry).map_or(0, |at| at.last_pull);
            let count = wait.count;
            entries.insert(
                entry.clone(),
                EntryWait {
                    count,
                    since,
                    last_pull,
                },
            );
        }
        let remaining = sum(entries);
        if entries.is_empty() {
            accounts.remove(&wait.account);
        }
        remaining
    }

    /// Removes a disconnected entry. Returns what remains of the accounts that waited there.
    pub fn remove_entry(&mut self, entry: &HostName) -> Vec<RemainingWait> {
        let pools: Vec<PoolName> = self.pools.keys().cloned().collect();
        let remaining = pools.iter().map(|pool| self.remove_pool(entry, pool));
        remaining.flatten().collect()
    }

    /// Removes an entry from one pool. Returns what remains of the accounts that waited there.
    pub fn remove_pool(&mut self, entry: &HostName, pool: &PoolName) -> Vec<RemainingWait> {
        let Some(accounts) = self.pools.get_mut(pool) else {
            return Vec::new();
        };
        let mut changed = Vec::new();
        for (account, entries) in accounts.iter_mut() {
            if entries.remove(entry).is_some() {
                let (count, oldest) = sum(entries);
                changed.push(RemainingWait {
                    pool: pool.clone(),
                    account: account.clone(),
                    count,
                    oldest,
                });
            }
        }
        accounts.retain(|_, entries| !entries.is_empty());
        changed
    }

    /// The accounts with waiting requests in any pool.
    #[must_use]
    pub fn all_accounts(&self) -> BTreeSet<AccountName> {
        self.pools
            .values()
            .flat_map(BTreeMap::keys)
            .cloned()
            .collect()
    }

    /// The entry to pull from: the least recently used one with more waiting requests of the
    /// account than pulls `in_flight`.
    ///
    /// The counts are rough, so pulling from the entry with the most requests could drain one entry
    /// while requests at another wait.
    #[must_use]
    pub fn entry_for(
        &self,
        pool: &PoolName,
        account: &AccountName,
        in_flight: impl Fn(&HostName) -> u32,
    ) -> Option<HostName> {
        let entries = self.pools.get(pool)?.get(account)?;
        let eligible = entries
            .iter()
            .filter(|(entry, at)| at.count > in_flight(entry));
        let next = eligible.min_by_key(|(_, at)| at.last_pull);
        next.map(|(entry, _)| entry.clone())
    }

    /// Records that a pull for the account was sent to an entry.
    pub fn record_pull(&mut self, pool: &PoolName, account: &AccountName, entry: &HostName) {
        self.pulls += 1;
        let accounts = self.pools.get_mut(pool);
        let entries = accounts.and_then(|accounts| accounts.get_mut(account));
        if let Some(at) = entries.and_then(|entries| entries.get_mut(entry)) {
            at.last_pull = self.pulls;
        }
    }

    /// Whether an account has waiting requests in a pool at an entry.
    #[must_use]
    pub fn has_waiting_at(&self, pool: &PoolName, account: &AccountName, entry: &HostName) -> bool {
        let entries = self
            .pools
            .get(pool)
            .and_then(|accounts| accounts.get(account));
        entries.is_some_and(|entries| entries.contains_key(entry))
    }
}

fn sum(entries: &ByEntry) -> (u32, Duration) {
    let count = entries
        .values()
        .fold(0, |sum: u32, at| sum.saturating_add(at.count));
    let oldest = entries.values().map(|at| at.since).min();
    (count, oldest.unwrap_or_default())
}
