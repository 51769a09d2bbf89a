//! The service sums that one host subscribes to.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_types::{AccountName, ServiceUnits};

use crate::RelaySums;

/// The accounts that a host subscribes to over one connection, and the sums last sent.
#[derive(Debug, Clone, Default)]
pub struct SumsFeed {
    sent: BTreeMap<AccountName, ServiceUnits>,
    unsent: BTreeSet<AccountName>,
    version: u64,
}

impl SumsFeed {
    /// Subscribes to accounts.
    pub fn subscribe<'a>(&mut self, accounts: impl IntoIterator<Item = &'a AccountName>) {
        for account in accounts {
            if !self.sent.contains_key(account) {
                self.unsent.insert(account.clone());
            }
        }
    }

    /// Cancels the subscription to accounts.
    pub fn unsubscribe<'a>(&mut self, accounts: impl IntoIterator<Item = &'a AccountName>) {
        for account in accounts {
            self.sent.remove(account);
            self.unsent.remove(account);
        }
    }

    /// The sums that are new or changed since the last call.
    ///
    /// # Panics
    /// Panics if a sum has decreased: a host with too low a sum schedules that account too often.
    pub fn next(&mut self, sums: &RelaySums) -> Vec<(AccountName, ServiceUnits)> {
        let mut changed = Vec::new();
        // Iterates over the smaller set: the changed accounts or the subscribed ones.
        if sums.totals().max_changes_since(self.version) < self.sent.len() {
            for account in sums.totals().changed_since(self.version) {
                if let Some(sent) = self.sent.get_mut(account) {
                    push_if_changed(sums, account, sent, &mut changed);
                }
            }
        } else {
            for (account, sent) in &mut self.sent {
                push_if_changed(sums, account, sent, &mut changed);
            }
        }
        for account in std::mem::take(&mut self.unsent) {
            let total = sums.total(&account);
            changed.push((account.clone(), total));
            self.sent.insert(account, total);
        }
        self.version = sums.totals().version();
        changed
    }
}

fn push_if_changed(
    sums: &RelaySums,
    account: &AccountName,
    sent: &mut ServiceUnits,
    changed: &mut Vec<(AccountName, ServiceUnits)>,
) {
    let total = sums.total(account);
    assert!(
        *sent <= total,
        "service of {account} decreased from {sent} to {total}"
    );
    if *sent != total {
        *sent = total;
        changed.push((account.clone(), total));
    }
}
