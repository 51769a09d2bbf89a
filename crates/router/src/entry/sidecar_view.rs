//! An entry's view of one sidecar.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_types::prelude::*;

/// Interval between wait updates to a saturated sidecar. On average it adds half of itself to the
/// age of a sidecar's counts, which is less than the age of the service counters.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Factor by which a count must change to be sent. A superfluous pull costs one small message; a
/// missing one costs a round trip, and only if several slots become free at once.
const SIGNIFICANT_FACTOR: u32 = 4;

/// A connected sidecar.
#[derive(Debug)]
pub struct SidecarView {
    /// The incarnation of its process, which attempts carry.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// The name under which routing decisions treat the sidecar as one upstream.
    pub routing_name: UpstreamName,
    /// The pools that it serves.
    pub pools: BTreeMap<PoolName, PoolView>,
}

/// One pool at one sidecar.
#[derive(Debug, Default)]
pub struct PoolView {
    /// Free slots as last reported, less the offers since then.
    pub free: u32,
    /// Usable slots as last reported, free or not.
    pub usable: u32,
    /// Number of waiting requests last sent to the sidecar, by account.
    sent: HashMap<AccountName, u32>,
    /// Accounts whose number may have changed since.
    changed: BTreeSet<AccountName>,
    /// When the last update was sent.
    sent_at: Duration,
}

impl SidecarView {
    /// Creates the view of a newly connected sidecar.
    ///
    /// # Panics
    /// Never: host names and upstream names have the same syntax.
    #[must_use]
    pub fn new(host: &HostName, incarnation: Incarnation, domain: DomainName) -> Self {
        let routing_name =
            UpstreamName::new(host.as_str()).expect("host and upstream names have the same syntax");
        Self {
            incarnation,
            domain,
            routing_name,
            pools: BTreeMap::new(),
        }
    }

    /// Whether it has reported that it serves the pool.
    #[must_use]
    pub fn has_pool(&self, pool: &PoolName) -> bool {
        self.pools.contains_key(pool)
    }
}

impl PoolView {
    /// Marks an account's number of waiting requests for the next update.
    pub fn mark_changed(&mut self, account: &AccountName) {
        self.changed.insert(account.clone());
    }

    /// Whether an update should be sent now.
    ///
    /// Updates go at once to a sidecar that has a free slot or no work to pull. For a saturated
    /// sidecar they are batched, since single updates dominate the control traffic.
    #[must_use]
    pub fn is_due(&self, now: Duration) -> bool {
        let can_use = self.free > 0 || self.sent.is_empty();
        !self.changed.is_empty() && (can_use || now >= self.sent_at + UPDATE_INTERVAL)
    }

    /// Returns the changed accounts for an update that is sent now.
    pub fn take_changed(&mut self, now: Duration) -> BTreeSet<AccountName> {
        self.sent_at = now;
        std::mem::take(&mut self.changed)
    }

    /// Records `count` as sent if it differs enough to be sent; returns whether it does.
    ///
    /// A sidecar chooses by which accounts wait and uses the counts only to bound its pulls, so it
    /// needs changes from or to zero and by `SIGNIFICANT_FACTOR`. A sidecar with more free slots
    /// than known requests gets every increase, so that it can fill its slots at once.
    pub fn record_if_significant(&mut self, account: &AccountName, count: u32) -> bool {
        let before = self.sent.get(account).copied().unwrap_or(0);
        let grown = count >= before.saturating_mul(SIGNIFICANT_FACTOR);
        let shrunk = count.saturating_mul(SIGNIFICANT_FACTOR) <= before;
        let fillable = count > before && before < self.free;
        let same = count == before || !(grown || shrunk || fillable);
        if !same {
            self.record_sent(account, count);
        }
        !same
    }

    /// Records `count` as sent, whatever was sent before.
    pub fn record_sent(&mut self, account: &AccountName, count: u32) {
        if count == 0 {
            self.sent.remove(account);
        } else {
            self.sent.insert(account.clone(), count);
        }
    }
}
