//! The totals of all accounts, indexed by the order of their changes.
//!
//! Many hosts subscribe to many accounts each, and few totals change between two updates. The index
//! bounds the work of a feed by the number of changes instead of the number of accounts.

use std::collections::BTreeMap;

use coltsfootnotch_types::{AccountName, ServiceUnits};

/// The total of each account, with the version of its last change.
#[derive(Debug, Clone, Default)]
pub(crate) struct Totals {
    version: u64,
    by_account: BTreeMap<AccountName, (u64, u64)>,
    changed: BTreeMap<u64, AccountName>,
}

impl Totals {
    pub(crate) fn add(&mut self, account: &AccountName, units: u64) {
        if units == 0 {
            return;
        }
        self.version += 1;
        let total = self.by_account.entry(account.clone()).or_default();
        self.changed.remove(&total.1);
        self.changed.insert(self.version, account.clone());
        *total = (total.0.saturating_add(units), self.version);
    }

    pub(crate) fn get(&self, account: &AccountName) -> ServiceUnits {
        ServiceUnits(self.by_account.get(account).map_or(0, |(units, _)| *units))
    }

    /// The version of the last change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Upper bound of the number of accounts that changed after `version`, in constant time.
    pub(crate) fn max_changes_since(&self, version: u64) -> usize {
        let changes = usize::try_from(self.version.saturating_sub(version)).unwrap_or(usize::MAX);
        changes.min(self.changed.len())
    }

    /// The accounts that changed after `version`.
    pub(crate) fn changed_since(&self, version: u64) -> impl Iterator<Item = &AccountName> {
        self.changed
            .range(version + 1..)
            .map(|(_, account)| account)
    }
}
