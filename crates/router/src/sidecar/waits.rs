//! What waits at the entries, as they have told.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::AccountWait;

type ByEntry = BTreeMap<HostName, u32>;

/// Waiting work by pool, account and entry.
#[derive(Debug, Default)]
pub struct WaitTable {
    pools: BTreeMap<PoolName, BTreeMap<AccountName, ByEntry>>,
}

impl WaitTable {
    /// Takes in what an entry tells; `full` replaces what it told before.
    pub fn update(
        &mut self,
        entry: &HostName,
        pool: &PoolName,
        full: bool,
        changes: &[AccountWait],
    ) {
        if full {
            self.forget_in(entry, Some(pool));
        }
        let accounts = self.pools.entry(pool.clone()).or_default();
        for wait in changes {
            let entries = accounts.entry(wait.account.clone()).or_default();
            if wait.count == 0 {
                entries.remove(entry);
            } else {
                entries.insert(entry.clone(), wait.count);
            }
        }
        accounts.retain(|_, entries| !entries.is_empty());
    }

    /// Forgets an entry whose connection is gone.
    pub fn forget(&mut self, entry: &HostName) {
        self.forget_in(entry, None);
    }

    /// The accounts that wait in a pool.
    pub fn accounts(&self, pool: &PoolName) -> impl Iterator<Item = &AccountName> {
        self.pools.get(pool).into_iter().flat_map(BTreeMap::keys)
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
            .map(|(entry, count)| (count.saturating_sub(asked(entry)), entry))
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

    fn forget_in(&mut self, entry: &HostName, only: Option<&PoolName>) {
        for (pool, accounts) in &mut self.pools {
            if only.is_some_and(|only| only != pool) {
                continue;
            }
            for entries in accounts.values_mut() {
                entries.remove(entry);
            }
            accounts.retain(|_, entries| !entries.is_empty());
        }
    }
}
