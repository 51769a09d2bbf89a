//! Service of every account, summed over the fleet.
//!
//! Each relay adds up the batches of its hosts. Relays exchange these sums as absolute values that
//! only grow, so a merge takes the larger one and deltas may come twice and in any order. The sum of
//! an account is that over all relays and their runs. What a relay had taken and not yet passed on
//! when it was lost is missing: one exchange interval of its hosts' service.

use std::collections::BTreeMap;

use coltsfootnotch_types::{AccountName, HostName, Incarnation, ServiceUnits};
use serde::{Deserialize, Serialize};

use crate::totals::Totals;
use crate::{Epoch, RelayId, ServiceBatch};

/// Runs of one relay whose sums are kept apart; of older ones only the totals remain. These are not
/// told to a relay that restarts later, so the number is well above the restarts between two
/// replacements of a control host.
const MAX_EPOCHS: usize = 64;

/// Changes of one relay's sums.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumsDelta {
    /// Whose sums.
    pub relay: RelayId,
    /// Every change after this version is in it.
    pub from: u64,
    /// The version that it leads to.
    pub to: u64,
    /// The sums that changed.
    pub sums: Vec<(AccountName, ServiceUnits)>,
}

/// The sums of one run of a relay.
#[derive(Debug, Clone, Default)]
struct Component {
    version: u64,
    sums: BTreeMap<AccountName, (u64, u64)>,
}

/// The sums of every relay, as one of them knows them.
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
/// let mut here = RelaySums::new(relay("control-1")?);
/// here.apply_batch(batches.next().unwrap());
/// let mut there = RelaySums::new(relay("control-2")?);
/// there.merge(&here.delta_since(0).unwrap());
/// assert_eq!(there.total(&bistro), ServiceUnits(30));
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct RelaySums {
    me: RelayId,
    runs: BTreeMap<HostName, BTreeMap<Epoch, Component>>,
    folded: BTreeMap<HostName, Epoch>,
    taken: BTreeMap<(HostName, Incarnation), u64>,
    totals: Totals,
}

impl RelaySums {
    /// The sums of a relay that has just started.
    #[must_use]
    pub fn new(me: RelayId) -> Self {
        Self {
            me,
            runs: BTreeMap::new(),
            folded: BTreeMap::new(),
            taken: BTreeMap::new(),
            totals: Totals::default(),
        }
    }

    /// Adds a batch of a host, once; returns the number to acknowledge.
    ///
    /// Numbers may skip: the batches between went to another relay.
    pub fn apply_batch(&mut self, batch: &ServiceBatch) -> u64 {
        let run = (batch.host.clone(), batch.incarnation);
        let last = self.taken.entry(run).or_insert(0);
        if batch.seq <= *last {
            return batch.seq;
        }
        *last = batch.seq;
        let own = self.runs.entry(self.me.host.clone()).or_default();
        let own = own.entry(self.me.epoch).or_default();
        own.version += 1;
        for (account, units) in &batch.added {
            let sum = own.sums.entry(account.clone()).or_default();
            *sum = (sum.0.saturating_add(units.0), own.version);
            self.totals.add(account, units.0);
        }
        batch.seq
    }

    /// Forgets which batches of a run were taken, once no more can come.
    pub fn remove_run(&mut self, host: &HostName, incarnation: Incarnation) {
        self.taken.remove(&(host.clone(), incarnation));
    }

    /// The changes of this relay's own sums since `version`, if there are any.
    #[must_use]
    pub fn delta_since(&self, version: u64) -> Option<SumsDelta> {
        let own = self.runs.get(&self.me.host)?.get(&self.me.epoch)?;
        let delta = own.delta(&self.me, version);
        (delta.to > version).then_some(delta)
    }

    /// Everything known of the runs of the relay `host`. Sent to a relay when it connects: after a
    /// restart it has lost its own earlier sums as well.
    #[must_use]
    pub fn full_deltas(&self, host: &HostName) -> Vec<SumsDelta> {
        let runs = self.runs.get(host).into_iter().flatten();
        runs.map(|(epoch, component)| {
            let (host, epoch) = (host.clone(), *epoch);
            component.delta(&RelayId { host, epoch }, 0)
        })
        .collect()
    }

    /// The version of a relay's sums that is known here completely.
    #[must_use]
    pub fn known_version(&self, relay: &RelayId) -> u64 {
        let runs = self.runs.get(&relay.host);
        let component = runs.and_then(|r| r.get(&relay.epoch));
        component.map_or(0, |c| c.version)
    }

    /// Takes in a delta of another relay's sums; returns whether everything up to its end is known.
    pub fn merge(&mut self, delta: &SumsDelta) -> bool {
        let relay = &delta.relay;
        let is_folded = self.folded.get(&relay.host) >= Some(&relay.epoch);
        if *relay == self.me || is_folded {
            return true;
        }
        let runs = self.runs.entry(relay.host.clone()).or_default();
        let component = runs.entry(relay.epoch).or_default();
        for (account, units) in &delta.sums {
            let sum = component.sums.entry(account.clone()).or_default();
            if units.0 > sum.0 {
                self.totals.add(account, units.0 - sum.0);
                *sum = (units.0, delta.to);
            }
        }
        if delta.from <= component.version {
            component.version = component.version.max(delta.to);
        }
        let is_complete = delta.to <= component.version;
        self.fold(&delta.relay.host);
        is_complete
    }

    /// Drops the oldest runs of a relay when there are too many; the totals keep what they counted.
    fn fold(&mut self, host: &HostName) {
        let Some(runs) = self.runs.get_mut(host) else {
            return;
        };
        while runs.len() > MAX_EPOCHS {
            let Some((epoch, _)) = runs.pop_first() else {
                return;
            };
            self.folded.insert(host.clone(), epoch);
        }
    }

    /// The service of `account` over the whole fleet.
    #[must_use]
    pub fn total(&self, account: &AccountName) -> ServiceUnits {
        self.totals.get(account)
    }

    /// What changed in the totals, for the feeds of hosts.
    pub(crate) fn totals(&self) -> &Totals {
        &self.totals
    }
}

impl Component {
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
