//! The summaries of all relays, merged into one directory.
//!
//! A relay merges its own summary like those of its peers. The result depends on the set of deltas
//! merged, not on their order or number.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{HostName, Role};

use crate::{
    Epoch, HostRecord, Presence, REMOTE_CONTACTS, RelayId, Selection, Summary, SummaryDelta, Timing,
};

/// The summary received from one relay.
#[derive(Debug, Clone)]
struct Source {
    epoch: Epoch,
    summary: Summary,
    /// Summary of the previous run, kept until the current one has settled: a relay that has just
    /// restarted lists no hosts, and its failure domain must not disappear meanwhile.
    previous: Option<Summary>,
}

/// The hosts of the whole fleet, as merged by one relay.
#[derive(Debug, Clone)]
pub struct Directory {
    local: RelayId,
    settled_at: Duration,
    sources: BTreeMap<HostName, Source>,
    hosts: BTreeMap<HostName, HostRecord>,
    selection: Selection,
    remote_contacts: usize,
    version: u64,
}

impl Directory {
    /// Creates the empty directory of a relay that starts at `now`.
    #[must_use]
    pub fn new(local: RelayId, timing: &Timing, now: Duration) -> Self {
        Self {
            local,
            settled_at: now + timing.silent_after,
            sources: BTreeMap::new(),
            hosts: BTreeMap::new(),
            selection: Selection::default(),
            remote_contacts: REMOTE_CONTACTS,
            version: 0,
        }
    }

    /// Sets the maximum number of sidecars that an entry connects to for each pool of each other
    /// failure domain. It must be the same at every relay.
    pub fn set_remote_contacts(&mut self, n: usize) {
        self.remote_contacts = n;
        self.selection = Selection::of(self.hosts.values(), n);
        self.version += 1;
    }

    /// Whether this relay has run long enough for a host that is not listed to be gone.
    #[must_use]
    pub fn is_settled(&self, now: Duration) -> bool {
        now >= self.settled_at
    }

    /// Incremented with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version up to which every change of a relay's summary has been merged.
    #[must_use]
    pub fn known_version(&self, relay: &RelayId) -> u64 {
        match self.sources.get(&relay.host) {
            Some(s) if s.epoch == relay.epoch => s.summary.version(),
            _ => 0,
        }
    }

    /// Merges a delta of a relay's summary. Returns whether no change up to `delta.to` is missing;
    /// if one is, request a delta from [`Directory::known_version`].
    pub fn merge(&mut self, now: Duration, delta: &SummaryDelta) -> bool {
        let source = self
            .sources
            .entry(delta.relay.host.clone())
            .or_insert_with(|| Source {
                epoch: delta.relay.epoch,
                summary: Summary::default(),
                previous: None,
            });
        if delta.relay.epoch < source.epoch {
            return true;
        }
        if delta.relay.epoch > source.epoch {
            source.epoch = delta.relay.epoch;
            source.previous = Some(std::mem::take(&mut source.summary));
        }
        let is_complete = source.summary.merge(now, delta);
        if delta.settled && is_complete {
            source.previous = None;
        }
        self.rebuild();
        is_complete
    }

    /// Drops hosts whose tombstones have expired. Other records of a silent relay are kept: it
    /// sends no delta while nothing changes.
    pub fn purge(&mut self, now: Duration) {
        for source in self.sources.values_mut() {
            source.summary.purge(now);
        }
        self.rebuild();
    }

    /// Removes the summary of a relay whose control host was replaced and will not return.
    pub fn remove_relay(&mut self, host: &HostName) {
        if *host != self.local.host {
            self.sources.remove(host);
            self.rebuild();
        }
    }

    /// Selects the record that takes precedence for each host.
    fn rebuild(&mut self) {
        let mut hosts: BTreeMap<HostName, HostRecord> = BTreeMap::new();
        let summaries = self
            .sources
            .values()
            .flat_map(|s| s.previous.iter().chain([&s.summary]));
        for record in summaries.flat_map(Summary::records) {
            match hosts.get(&record.host) {
                Some(best) if !record.supersedes(best) => {}
                _ => {
                    hosts.insert(record.host.clone(), record.clone());
                }
            }
        }
        if hosts != self.hosts {
            self.hosts = hosts;
            self.selection = Selection::of(self.hosts.values(), self.remote_contacts);
            self.version += 1;
        }
    }

    /// The records of all hosts, including those that are gone.
    pub fn hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.values()
    }

    /// The record of `host`.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&HostRecord> {
        self.hosts.get(host)
    }

    /// The entries and sidecars of different failure domains that connect to each other.
    #[must_use]
    pub fn selection(&self) -> &Selection {
        &self.selection
    }

    /// The hosts that are not gone and whose configuration in force is older than `number`.
    #[must_use]
    pub fn hosts_behind(&self, number: u64) -> Vec<HostName> {
        self.hosts()
            .filter(|r| r.presence != Presence::Gone && r.config < number)
            .filter(|r| r.profile.as_ref().is_some_and(|p| p.role != Role::Operator))
            .map(|r| r.host.clone())
            .collect()
    }
}
