//! Service per account, given by the local host and by remote hosts.

use std::collections::BTreeMap;

use coltsfootnotch_types::{AccountName, ServiceUnits};

/// Service of all accounts. Every count only grows, so totals merge in any order.
///
/// Counts used service only. Estimates stay on the host that made them: a host that fails could not
/// correct an estimate that it had reported.
#[derive(Debug, Clone, Default)]
pub struct ServiceTotals {
    local: BTreeMap<AccountName, ServiceUnits>,
    unsent: BTreeMap<AccountName, ServiceUnits>,
    remote: BTreeMap<AccountName, ServiceUnits>,
}

impl ServiceTotals {
    /// Adds service given by the local host.
    pub fn add_local(&mut self, account: &AccountName, units: ServiceUnits) {
        if units == ServiceUnits(0) {
            return;
        }
        *self.local.entry(account.clone()).or_default() += units;
        *self.unsent.entry(account.clone()).or_default() += units;
    }

    /// Takes the local service since the last call, for the relay.
    pub fn take_unsent(&mut self) -> Vec<(AccountName, ServiceUnits)> {
        std::mem::take(&mut self.unsent).into_iter().collect()
    }

    /// Merges the total service of an account on all remote hosts; returns the increase.
    ///
    /// The first total is the baseline with an increase of zero, so that all accounts start level
    /// on a host without state. A lower total comes from a relay that lags behind and is ignored.
    pub fn merge_remote(&mut self, account: &AccountName, total: ServiceUnits) -> ServiceUnits {
        let known = self.remote.entry(account.clone()).or_insert(total);
        let increase = ServiceUnits(total.0.saturating_sub(known.0));
        *known += increase;
        increase
    }

    /// Total service of an account, local and remote.
    #[must_use]
    pub fn total(&self, account: &AccountName) -> ServiceUnits {
        let local = self.local.get(account).copied().unwrap_or_default();
        local + self.remote.get(account).copied().unwrap_or_default()
    }
}
