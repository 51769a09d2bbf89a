//! Every relay's summary, merged.
//!
//! A relay's own summary is merged like those of the others. The result depends on which deltas were
//! merged, and not on their order or number.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{HostName, Role};

use crate::{
    Epoch, HostRecord, Presence, REMOTE_CONTACTS, RelayId, Selection, Summary, SummaryDelta, Timing,
};

/// One relay as this one knows it.
#[derive(Debug, Clone)]
struct Source {
    epoch: Epoch,
    summary: Summary,
    /// What the run before said, kept until the present one has settled: a relay that has just been
    /// restarted has heard no host yet, and its failure domain must not vanish for that.
    before: Option<Summary>,
}

/// The hosts of the whole fleet, as a relay knows them.
#[derive(Debug, Clone)]
pub struct Directory {
    me: RelayId,
    settled_at: Duration,
    sources: BTreeMap<HostName, Source>,
    hosts: BTreeMap<HostName, HostRecord>,
    selection: Selection,
    remote_contacts: usize,
    version: u64,
}

impl Directory {
    /// The directory of a relay that starts at `now`.
    #[must_use]
    pub fn new(me: RelayId, timing: &Timing, now: Duration) -> Self {
        Self {
            me,
            settled_at: now + timing.silent_after,
            sources: BTreeMap::new(),
            hosts: BTreeMap::new(),
            selection: Selection::default(),
            remote_contacts: REMOTE_CONTACTS,
            version: 0,
        }
    }

    /// Changes how many sidecars an entry knows for each pool in each other failure domain. It must
    /// be the same at every relay.
    pub fn set_remote_contacts(&mut self, n: usize) {
        self.remote_contacts = n;
        self.selection = Selection::of(self.hosts.values(), n);
        self.version += 1;
    }

    /// Whether this relay has been up long enough for a host missing here to be gone.
    #[must_use]
    pub fn is_settled(&self, now: Duration) -> bool {
        now >= self.settled_at
    }

    /// Counted up with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version of a relay's summary that is known here completely, to ask it for what follows.
    #[must_use]
    pub fn known_version(&self, relay: &RelayId) -> u64 {
        match self.sources.get(&relay.host) {
            Some(s) if s.epoch == relay.epoch => s.summary.version(),
            _ => 0,
        }
    }

    /// Takes in a delta of some relay's summary. Returns whether everything up to its end is now known; if not, ask for a delta from
    /// [`Directory::known`].
    pub fn merge(&mut self, now: Duration, delta: &SummaryDelta) -> bool {
        let source = self
            .sources
            .entry(delta.relay.host.clone())
            .or_insert_with(|| Source {
                epoch: delta.relay.epoch,
                summary: Summary::default(),
                before: None,
            });
        if delta.relay.epoch < source.epoch {
            return true;
        }
        if delta.relay.epoch > source.epoch {
            source.epoch = delta.relay.epoch;
            source.before = Some(std::mem::take(&mut source.summary));
        }
        let is_complete = source.summary.merge(now, delta);
        if delta.settled && is_complete {
            source.before = None;
        }
        self.resolve();
        is_complete
    }

    /// Drops what is known of hosts that are long gone. What a silent relay said of others is kept: it
    /// may have had nothing to say for long, and its hosts are there all the same.
    pub fn purge(&mut self, now: Duration) {
        for source in self.sources.values_mut() {
            source.summary.purge(now);
        }
        self.resolve();
    }

    /// Forgets the summary of a relay that will not come back, since its control host was replaced.
    pub fn remove_relay(&mut self, host: &HostName) {
        if *host != self.me.host {
            self.sources.remove(host);
            self.resolve();
        }
    }

    fn resolve(&mut self) {
        let mut hosts: BTreeMap<HostName, HostRecord> = BTreeMap::new();
        let summaries = self
            .sources
            .values()
            .flat_map(|s| s.before.iter().chain([&s.summary]));
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

    /// Every host, gone ones included.
    pub fn hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.values()
    }

    /// One host.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&HostRecord> {
        self.hosts.get(host)
    }

    /// Which entries and sidecars of different failure domains connect to each other.
    #[must_use]
    pub fn selection(&self) -> &Selection {
        &self.selection
    }

    /// The hosts that take part and do not have the configuration `number` in force yet.
    #[must_use]
    pub fn hosts_behind(&self, number: u64) -> Vec<HostName> {
        self.hosts()
            .filter(|r| r.presence != Presence::Gone && r.config < number)
            .filter(|r| r.profile.as_ref().is_some_and(|p| p.role != Role::Operator))
            .map(|r| r.host.clone())
            .collect()
    }
}
