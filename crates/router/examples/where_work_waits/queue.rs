//! Requests that wait in one place, and the slots they wait for.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use coltsfootnotch_decide::fair::{Backlog, ChoicePolicy, FairLedger};
use coltsfootnotch_types::prelude::*;

use super::sim::Source;

/// Furthest that two waiting accounts may stand apart, in units at weight 1.
const HORIZON: ServiceUnits = ServiceUnits(10_000_000);

/// Requests that wait in one place.
pub(crate) struct Queue {
    pub(crate) ledger: FairLedger,
    pub(crate) waiting: HashMap<AccountName, VecDeque<u64>>,
    told: HashMap<AccountName, ServiceUnits>,
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
            told: HashMap::new(),
        }
    }

    /// Brings the ledger in step with what waits of an account.
    pub(crate) fn tell(
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
        let waiting = Backlog::new(count as u32, oldest);
        self.ledger.set_backlog(pool, account, waiting, now);
    }

    /// Adds the service given since the last call to the totals.
    pub(crate) fn report(&mut self, totals: &mut BTreeMap<AccountName, ServiceUnits>) {
        for (account, units) in self.ledger.take_unsent() {
            *totals.entry(account.clone()).or_default() += units;
            *self.told.entry(account).or_default() += units;
        }
    }

    /// Learns what the others gave.
    pub(crate) fn learn(&mut self, totals: &BTreeMap<AccountName, ServiceUnits>) {
        let own = &self.told;
        let elsewhere = totals.iter().map(|(account, total)| {
            let own = own.get(account).copied().unwrap_or_default();
            (account, ServiceUnits(total.0 - own.0))
        });
        self.ledger.merge_remote(elsewhere);
    }
}

/// A sidecar with one upstream.
#[derive(Default, Clone)]
pub(crate) struct Host {
    /// Slots free as far as whoever fills them knows.
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
