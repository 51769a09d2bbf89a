//! A queue of waiting requests, and the slots of a host.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use coltsfootnotch_decide::fair::{Backlog, ChoicePolicy, FairLedger};
use coltsfootnotch_types::prelude::*;

use super::sim::Source;

/// Largest difference between two waiting accounts, in service units at weight 1.
const HORIZON: ServiceUnits = ServiceUnits(10_000_000);

/// A queue with its ledger of service per account.
pub(crate) struct Queue {
    pub(crate) ledger: FairLedger,
    pub(crate) waiting: HashMap<AccountName, VecDeque<u64>>,
    reported: HashMap<AccountName, ServiceUnits>,
}

impl Queue {
    pub(crate) fn new(policy: ChoicePolicy, sources: &[Source]) -> Self {
        let mut ledger = FairLedger::new(policy, HORIZON);
        for source in sources {
            ledger.set_weight(&source.account, source.weight);
        }
        Self {
            ledger,
            waiting: HashMap::new(),
            reported: HashMap::new(),
        }
    }

    /// Updates the ledger with an account's waiting requests.
    pub(crate) fn update_waiting(
        &mut self,
        now: Duration,
        pool: &PoolName,
        account: &AccountName,
        arrived: impl Fn(u64) -> Duration,
    ) {
        let jobs = self.waiting.get(account);
        let oldest = jobs.and_then(|jobs| jobs.front());
        let oldest = oldest.map_or(now, |job| arrived(*job));
        let count = jobs.map_or(0, VecDeque::len);
        let backlog = Backlog::new(count as u32, oldest);
        self.ledger.set_backlog(pool, account, backlog, now);
    }

    /// Adds the service since the last call to the totals.
    pub(crate) fn report(&mut self, totals: &mut BTreeMap<AccountName, ServiceUnits>) {
        for (account, units) in self.ledger.take_unsent() {
            *totals.entry(account.clone()).or_default() += units;
            *self.reported.entry(account).or_default() += units;
        }
    }

    /// Merges the service of the other queues into the ledger.
    pub(crate) fn merge_totals(&mut self, totals: &BTreeMap<AccountName, ServiceUnits>) {
        let local = &self.reported;
        let remote = totals.iter().map(|(account, total)| {
            let local = local.get(account).copied().unwrap_or_default();
            (account, ServiceUnits(total.0 - local.0))
        });
        self.ledger.merge_remote(remote);
    }
}

/// A sidecar with one upstream.
#[derive(Default, Clone)]
pub(crate) struct Host {
    /// Free slots as known to the queue that fills them.
    pub(crate) free: usize,
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) busy: Duration,
    counted_at: Duration,
}

impl Host {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            free: slots,
            ..Self::default()
        }
    }

    pub(crate) fn count_busy(&mut self, now: Duration) {
        self.busy += (now - self.counted_at) * self.running as u32;
        self.counted_at = now;
    }
}
