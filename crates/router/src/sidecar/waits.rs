//! What waits at the entries, as they have told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::AccountWait;

/// What waits of an account, by entry.
type ByEntry = BTreeMap<HostName, AtEntry>;

/// What waits of an account at one entry.
#[derive(Debug)]
struct AtEntry {
    count: u32,
    since: Duration,
    /// Number of the turn in which it was last asked.
    turn: u64,
}

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
    turns: u64,
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
            let turn = entries.get(entry).map_or(0, |at| at.turn);
            let count = wait.count;
            entries.insert(entry.clone(), AtEntry { count, since, turn });
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

    /// The entry whose turn it is among those with waiting work of an account, less what `asked`
    /// counts as on its way.
    ///
    /// In turns, because the counts are rough: asked where most seems to wait, one entry would be
    /// drained before the next is looked at, and the requests there would wait twice as long as others.
    #[must_use]
    pub fn entry_for(
        &self,
        pool: &PoolName,
        account: &AccountName,
        asked: impl Fn(&HostName) -> u32,
    ) -> Option<HostName> {
        let entries = self.pools.get(pool)?.get(account)?;
        let open = entries.iter().filter(|(entry, at)| at.count > asked(entry));
        let next = open.min_by_key(|(_, at)| at.turn);
        next.map(|(entry, _)| entry.clone())
    }

    /// Notes that an entry was asked for work of an account.
    pub fn note_asked(&mut self, pool: &PoolName, account: &AccountName, entry: &HostName) {
        self.turns += 1;
        let accounts = self.pools.get_mut(pool);
        let entries = accounts.and_then(|accounts| accounts.get_mut(account));
        if let Some(at) = entries.and_then(|entries| entries.get_mut(entry)) {
            at.turn = self.turns;
        }
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
        .fold(0, |sum: u32, at| sum.saturating_add(at.count));
    let oldest = entries.values().map(|at| at.since).min();
    (count, oldest.unwrap_or_default())
}
