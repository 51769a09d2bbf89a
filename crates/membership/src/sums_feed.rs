//! The service sums that one host has asked for.

use std::collections::BTreeMap;

use coltsfootnotch_types::{AccountName, ServiceUnits};

use crate::RelaySums;

/// The accounts that wait in a host's pools, and what it was told of each, over one connection.
#[derive(Debug, Clone, Default)]
pub struct SumsFeed {
    asked: BTreeMap<AccountName, Option<ServiceUnits>>,
}

impl SumsFeed {
    /// Adds accounts to those asked for.
    pub fn ask<'a>(&mut self, accounts: impl IntoIterator<Item = &'a AccountName>) {
        for account in accounts {
            self.asked.entry(account.clone()).or_insert(None);
        }
    }

    /// Takes accounts away.
    pub fn drop<'a>(&mut self, accounts: impl IntoIterator<Item = &'a AccountName>) {
        for account in accounts {
            self.asked.remove(account);
        }
    }

    /// The sums that changed since the last call.
    ///
    /// # Panics
    /// When a sum went down: the host would serve that account too often.
    pub fn next(&mut self, sums: &RelaySums) -> Vec<(AccountName, ServiceUnits)> {
        let mut changed = Vec::new();
        for (account, told) in &mut self.asked {
            let total = sums.total(account);
            assert!(
                told.is_none_or(|t| t <= total),
                "service of {account} went down from {told:?} to {total}"
            );
            if *told != Some(total) {
                *told = Some(total);
                changed.push((account.clone(), total));
            }
        }
        changed
    }
}
