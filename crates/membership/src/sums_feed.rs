//! The service sums that one host has asked for.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_types::{AccountName, ServiceUnits};

use crate::RelaySums;

/// The accounts that wait in a host's pools, and what it was told of each, over one connection.
#[derive(Debug, Clone, Default)]
pub struct SumsFeed {
    told: BTreeMap<AccountName, ServiceUnits>,
    untold: BTreeSet<AccountName>,
    seen: u64,
}

impl SumsFeed {
    /// Adds accounts to those asked for.
    pub fn subscribe<'a>(&mut self, accounts: impl IntoIterator<Item = &'a AccountName>) {
        for account in accounts {
            if !self.told.contains_key(account) {
                self.untold.insert(account.clone());
            }
        }
    }

    /// Takes accounts away.
    pub fn unsubscribe<'a>(&mut self, accounts: impl IntoIterator<Item = &'a AccountName>) {
        for account in accounts {
            self.told.remove(account);
            self.untold.remove(account);
        }
    }

    /// The sums that are new or changed since the last call.
    ///
    /// # Panics
    /// When a sum went down: the host would serve that account too often.
    pub fn next(&mut self, sums: &RelaySums) -> Vec<(AccountName, ServiceUnits)> {
        let mut changed = Vec::new();
        // Whichever is fewer: the accounts that changed, or those asked for.
        if sums.totals().changes_since(self.seen) < self.told.len() {
            for account in sums.totals().since(self.seen) {
                if let Some(told) = self.told.get_mut(account) {
                    tell(sums, account, told, &mut changed);
                }
            }
        } else {
            for (account, told) in &mut self.told {
                tell(sums, account, told, &mut changed);
            }
        }
        for account in std::mem::take(&mut self.untold) {
            let total = sums.total(&account);
            changed.push((account.clone(), total));
            self.told.insert(account, total);
        }
        self.seen = sums.totals().version();
        changed
    }
}

fn tell(
    sums: &RelaySums,
    account: &AccountName,
    told: &mut ServiceUnits,
    changed: &mut Vec<(AccountName, ServiceUnits)>,
) {
    let total = sums.total(account);
    assert!(
        *told <= total,
        "service of {account} went down from {told} to {total}"
    );
    if *told != total {
        *told = total;
        changed.push((account.clone(), total));
    }
}
