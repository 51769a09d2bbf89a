//! Service per account: given here, and heard to be given elsewhere.

use std::collections::BTreeMap;

use coltsfootnotch_types::prelude::*;

/// Service as one sidecar knows it.
#[derive(Debug, Default)]
pub struct Served {
    here: BTreeMap<AccountName, ServiceUnits>,
    unsent: BTreeMap<AccountName, ServiceUnits>,
    elsewhere: BTreeMap<AccountName, ServiceUnits>,
}

impl Served {
    /// Adds service given here.
    pub fn charge(&mut self, account: &AccountName, units: ServiceUnits) {
        if units == ServiceUnits(0) {
            return;
        }
        *self.here.entry(account.clone()).or_default() += units;
        *self.unsent.entry(account.clone()).or_default() += units;
    }

    /// Takes what was given since the last call, for the relay.
    pub fn take_unsent(&mut self) -> Vec<(AccountName, ServiceUnits)> {
        std::mem::take(&mut self.unsent).into_iter().collect()
    }

    /// Takes in the totals of service elsewhere.
    pub fn learn_elsewhere(&mut self, totals: Vec<(AccountName, ServiceUnits)>) {
        for (account, units) in totals {
            let known = self.elsewhere.entry(account).or_default();
            *known = units.max(*known);
        }
    }

    /// Service in all, as far as is known here.
    #[must_use]
    pub fn total(&self, account: &AccountName) -> ServiceUnits {
        let here = self.here.get(account).copied().unwrap_or_default();
        here + self.elsewhere.get(account).copied().unwrap_or_default()
    }
}
