//! Service per account as one host knows it: given here, and heard to be given elsewhere.

use std::collections::BTreeMap;

use coltsfootnotch_types::{AccountName, ServiceUnits};

/// Service of all accounts. Every count only grows, so sums of them merge in any order.
///
/// Only what runs have really used is counted here and told to others. An estimate stays with the
/// host that made it: told to others, it would have to be taken back, by a host that may be gone.
#[derive(Debug, Clone, Default)]
pub struct Served {
    here: BTreeMap<AccountName, ServiceUnits>,
    unsent: BTreeMap<AccountName, ServiceUnits>,
    elsewhere: BTreeMap<AccountName, ServiceUnits>,
}

impl Served {
    /// Counts service given here.
    pub fn add_here(&mut self, account: &AccountName, units: ServiceUnits) {
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

    /// Takes in the total that all other hosts gave an account; returns by how much it grew.
    ///
    /// The first total heard is where counting starts: a host that restarts with no state can't tell
    /// what of it the other hosts have already made up for, so for it all accounts start level. A
    /// total below the known one comes from a relay that has not heard everything yet.
    pub fn learn_elsewhere(&mut self, account: &AccountName, total: ServiceUnits) -> ServiceUnits {
        let known = self.elsewhere.entry(account.clone()).or_insert(total);
        let grown = ServiceUnits(total.0.saturating_sub(known.0));
        *known += grown;
        grown
    }

    /// Service of an account in all, as far as it is known here.
    #[must_use]
    pub fn total(&self, account: &AccountName) -> ServiceUnits {
        let here = self.here.get(account).copied().unwrap_or_default();
        here + self.elsewhere.get(account).copied().unwrap_or_default()
    }
}
