//! What waits at the entries, as they have told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::AccountWait;

/// What waits at one entry: how many, and since when.
type ByEntry = BTreeMap<HostName, (u32, Duration)>;

/// What is left of an account that waited at an entry that was forgotten.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Left {
    /// The pool.
    pub pool: PoolName,
    /// The account.
    pub account: AccountName,
    /// Requests that wait at other entries.
    pub count: u32,
    /// When the oldest of them arrived.
    pub oldest: Duration,
}

/// Waiting work by pool, account and entry.
#[derive(Debug, Default)]
pub struct WaitTable {
    pools: BTreeMap<PoolName, BTreeMap<AccountName, ByEntry>>,
}

impl WaitTable {
    /// Takes in what an entry tells of an account; what waits of it at all entries, and since when.
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
            entries.insert(entry.clone(), (wait.count, since));
        }
        let left = sum(entries);
        if entries.is_empty() {
            accounts.remove(&wait.account);
        }
        left
    }

    /// Forgets an entry whose connection is gone; what is left of the accounts that waited there.
    pub fn forget(&mut self, entry: &HostName) -> Vec<Left> {
        let pools: Vec<PoolName> = self.pools.keys().cloned().collect();
        let left = pools.iter().map(|pool| self.forget_pool(entry, pool));
        left.flatten().collect()
    }

    /// Forgets what waits at an entry in one pool.
    pub fn forget_pool(&mut self, entry: &HostName, pool: &PoolName) -> Vec<Left> {
        let Some(accounts) = self.pools.get_mut(pool) else {
            return Vec::new();
        };
        let mut changed = Vec::new();
        for (account, entries) in accounts.iter_mut() {
            if entries.remove(entry).is_some() {
                let (count, oldest) = sum(entries);
                changed.push(Left {
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

    /// Every account that waits, whatever the pool.
    #[must_use]
    pub fn all_accounts(&self) -> BTreeSet<AccountName> {
        self.pools
            .values()
            .flat_map(BTreeMap::keys)
            .cloned()
            .collect()
    }

    /// The entry with the most waiting work of an account, less what `asked` counts as on its way.
    #[must_use]
    pub fn entry_for(
        &self,
        pool: &PoolName,
        account: &AccountName,
        asked: impl Fn(&HostName) -> u32,
    ) -> Option<HostName> {
        let entries = self.pools.get(pool)?.get(account)?;
        entries
            .iter()
            .map(|(entry, (count, _))| (count.saturating_sub(asked(entry)), entry))
            .filter(|(left, _)| *left > 0)
            .max_by_key(|(left, _)| *left)
            .map(|(_, entry)| entry.clone())
    }

    /// Whether an account waits in a pool at an entry.
    #[must_use]
    pub fn waits_at(&self, pool: &PoolName, account: &AccountName, entry: &HostName) -> bool {
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
        .fold(0, |sum: u32, (count, _)| sum.saturating_add(*count));
    let oldest = entries.values().map(|(_, since)| *since).min();
    (count, oldest.unwrap_or_default())
}
