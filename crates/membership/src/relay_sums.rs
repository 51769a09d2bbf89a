//! Service of every account, summed over the fleet: a grow-only counter.
//!
//! Each relay adds up the batches of its hosts. Relays exchange these sums as absolute values, and
//! a merge takes the larger one, so deltas can be duplicated and reordered. The total of an account
//! is the sum over all relays and their runs. When a relay is lost, the service that it had not
//! sent to the others yet is lost with it: at most one exchange interval of its hosts.

use std::collections::BTreeMap;

use coltsfootnotch_types::{AccountName, HostName, Incarnation, ServiceUnits};
use serde::{Deserialize, Serialize};

use crate::totals::Totals;
use crate::{Epoch, RelayId, ServiceBatch};

/// Runs of one relay whose sums are stored separately. Older runs remain only in the totals and are
/// not sent to a relay that restarts, so the limit is well above the restarts between two
/// replacements of a control host.
const MAX_EPOCHS: usize = 64;

/// Changes of one relay's sums.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumsDelta {
    /// The run of the relay that counted them.
    pub relay: RelayId,
    /// The version after which every change is included.
    pub from: u64,
    /// The version after applying the delta.
    pub to: u64,
    /// The sums that changed, as absolute values.
    pub sums: Vec<(AccountName, ServiceUnits)>,
}

/// The sums of one run of a relay, each with the version of its last change.
#[derive(Debug, Clone, Default)]
struct RunSums {
    version: u64,
    sums: BTreeMap<AccountName, (u64, u64)>,
}

/// The sums of every relay, as merged by one of them.
///
/// ```
/// use coltsfootnotch_membership::{Epoch, RelayId, RelaySums, ServiceBatches};
/// use coltsfootnotch_types::{AccountName, HostName, Incarnation, ServiceUnits};
/// let relay = |name: &str| -> Result<RelayId, coltsfootnotch_types::NameError> {
///     Ok(RelayId { host: HostName::new(name)?, epoch: Epoch(1) })
/// };
/// let bistro = AccountName::new("bistro")?;
/// let mut batches = ServiceBatches::new(HostName::new("sidecar-1")?, Incarnation(7));
/// batches.add(&bistro, ServiceUnits(30));
/// let mut sender = RelaySums::new(relay("control-1")?);
/// sender.apply_batch(batches.next().unwrap());
/// let mut receiver = RelaySums::new(relay("control-2")?);
/// receiver.merge(&sender.delta_since(0).unwrap());
/// assert_eq!(receiver.total(&bistro), ServiceUnits(30));
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct RelaySums {
    local: RelayId,
    runs: BTreeMap<HostName, BTreeMap<Epoch, RunSums>>,
    dropped_epochs: BTreeMap<HostName, Epoch>,
    last_batches: BTreeMap<(HostName, Incarnation), u64>,
    totals: Totals,
}

impl RelaySums {
    /// Creates the empty sums of the run `local` of a relay.
    #[must_use]
    pub fn new(local: RelayId) -> Self {
        Self {
            local,
            runs: BTreeMap::new(),
            dropped_epochs: BTreeMap::new(),
            last_batches: BTreeMap::new(),
            totals: Totals::default(),
        }
    }

    /// Adds a batch of a host unless it was added before; returns the number to acknowledge.
    ///
    /// Sequence numbers may have gaps: those batches were sent to another relay.
    pub fn apply_batch(&mut self, batch: &ServiceBatch) -> u64 {
        let run = (batch.host.clone(), batch.incarnation);
        let last = self.last_batches.entry(run).or_insert(0);
        if batch.seq <= *last {
            return batch.seq;
        }
        *last = batch.seq;
        let local_sums = self.runs.entry(self.local.host.clone()).or_default();
        let local_sums = local_sums.entry(self.local.epoch).or_default();
        local_sums.version += 1;
        for (account, units) in &batch.added {
            let sum = local_sums.sums.entry(account.clone()).or_default();
            *sum = (sum.0.saturating_add(units.0), local_sums.version);
            self.totals.add(account, units.0);
        }
        batch.seq
    }

    /// Removes the batch number of a run of a host that sends no further batches.
    pub fn remove_run(&mut self, host: &HostName, incarnation: Incarnation) {
        self.last_batches.remove(&(host.clone(), incarnation));
    }

    /// The changes of this relay's sums after `version`, if there are any.
    #[must_use]
    pub fn delta_since(&self, version: u64) -> Option<SumsDelta> {
        let local_sums = self.runs.get(&self.local.host)?.get(&self.local.epoch)?;
        let delta = local_sums.delta(&self.local, version);
        (delta.to > version).then_some(delta)
    }

    /// All sums of every run of the relay on `host`. Sent to that relay when it connects, since a
    /// restarted relay has lost the sums of its earlier runs.
    #[must_use]
    pub fn full_deltas(&self, host: &HostName) -> Vec<SumsDelta> {
        let runs = self.runs.get(host).into_iter().flatten();
        runs.map(|(epoch, run_sums)| {
            let (host, epoch) = (host.clone(), *epoch);
            run_sums.delta(&RelayId { host, epoch }, 0)
        })
        .collect()
    }

    /// The version up to which every change of a relay's sums has been merged.
    #[must_use]
    pub fn known_version(&self, relay: &RelayId) -> u64 {
        let runs = self.runs.get(&relay.host);
        let run_sums = runs.and_then(|r| r.get(&relay.epoch));
        run_sums.map_or(0, |c| c.version)
    }

    /// Merges a delta of another relay's sums; returns whether no change up to `delta.to` is
    /// missing.
    pub fn merge(&mut self, delta: &SumsDelta) -> bool {
        let relay = &delta.relay;
        let is_dropped = self.dropped_epochs.get(&relay.host) >= Some(&relay.epoch);
        if *relay == self.local || is_dropped {
            return true;
        }
        let runs = self.runs.entry(relay.host.clone()).or_default();
        let run_sums = runs.entry(relay.epoch).or_default();
        for (account, units) in &delta.sums {
            let sum = run_sums.sums.entry(account.clone()).or_default();
            if units.0 > sum.0 {
                self.totals.add(account, units.0 - sum.0);
                *sum = (units.0, delta.to);
            }
        }
        if delta.from <= run_sums.version {
            run_sums.version = run_sums.version.max(delta.to);
        }
        let is_complete = delta.to <= run_sums.version;
        self.drop_oldest_runs(&delta.relay.host);
        is_complete
    }

    /// Drops the oldest runs of a relay beyond [`MAX_EPOCHS`]; the totals still include them.
    fn drop_oldest_runs(&mut self, host: &HostName) {
        let Some(runs) = self.runs.get_mut(host) else {
            return;
        };
        while runs.len() > MAX_EPOCHS {
            let Some((epoch, _)) = runs.pop_first() else {
                return;
            };
            self.dropped_epochs.insert(host.clone(), epoch);
        }
    }

    /// Service of `account` over the whole fleet.
    #[must_use]
    pub fn total(&self, account: &AccountName) -> ServiceUnits {
        self.totals.get(account)
    }

    /// The totals over all relays and runs, with the order of their changes.
    pub(crate) fn totals(&self) -> &Totals {
        &self.totals
    }
}

impl RunSums {
    fn delta(&self, relay: &RelayId, from: u64) -> SumsDelta {
        let changed = self.sums.iter().filter(|(_, (_, v))| *v > from);
        SumsDelta {
            relay: relay.clone(),
            from,
            to: self.version,
            sums: changed
                .map(|(account, (units, _))| (account.clone(), ServiceUnits(*units)))
                .collect(),
        }
    }
}
