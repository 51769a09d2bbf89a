//! What each host itself reported, to be left out of the totals that it is told.

use std::collections::BTreeMap;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::ServiceBatch;

/// What one run of a host reported to this relay.
#[derive(Debug, Default)]
struct Reported {
    seq: u64,
    service: BTreeMap<AccountName, ServiceUnits>,
}

/// What each run of a host reported to this relay.
///
/// A host counts its own service at once and hears only that of the others; told the whole total, it
/// would count its own twice and serve its own accounts too seldom.
#[derive(Debug, Default)]
pub(super) struct OwnService {
    runs: BTreeMap<(HostName, Incarnation), Reported>,
}

impl OwnService {
    /// Counts a batch, once.
    pub(super) fn take(&mut self, host: &HostName, run: Incarnation, batch: &ServiceBatch) {
        let reported = self.runs.entry((host.clone(), run)).or_default();
        if batch.seq <= reported.seq {
            return;
        }
        reported.seq = batch.seq;
        for (account, units) in &batch.served {
            *reported.service.entry(account.clone()).or_default() += *units;
        }
    }

    /// What a run of a host reported of `account`.
    pub(super) fn of(
        &self,
        host: &HostName,
        run: Incarnation,
        account: &AccountName,
    ) -> ServiceUnits {
        let reported = self.runs.get(&(host.clone(), run));
        let units = reported.and_then(|r| r.service.get(account));
        units.copied().unwrap_or_default()
    }

    /// Forgets a run that has ended.
    pub(super) fn forget(&mut self, host: &HostName, run: Incarnation) {
        self.runs.remove(&(host.clone(), run));
    }
}
