//! What one relay says about the hosts that it hears, as versions and deltas.
//!
//! Each record bears the version at which it last changed. A receiver ignores records up to the
//! version that it knows completely, and otherwise keeps the one with the higher version: so deltas
//! may come twice and in any order.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::HostName;
use serde::{Deserialize, Serialize};

use crate::timing::KEEP_GONE;
use crate::{HostRecord, Presence, RelayId};

/// Changes of a summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryDelta {
    /// Whose summary.
    pub relay: RelayId,
    /// Every change after this version is in it; zero for the whole summary.
    pub from: u64,
    /// The version that it leads to.
    pub to: u64,
    /// Whether the relay has been up long enough to have heard every host that is there: until then a
    /// host that is missing may still be present.
    pub settled: bool,
    /// The records that changed, each with its version.
    pub records: Vec<(u64, HostRecord)>,
}

#[derive(Debug, Clone)]
struct Entry {
    version: u64,
    merged: Duration,
    record: HostRecord,
}

/// The hosts of one relay.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    version: u64,
    floor: u64,
    entries: BTreeMap<HostName, Entry>,
}

impl Summary {
    /// The version reached, or known completely.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The hosts, gone ones included.
    pub fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.entries.values().map(|e| &e.record)
    }

    /// The record of `host`.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&HostRecord> {
        self.entries.get(host).map(|e| &e.record)
    }

    /// Puts a record in, under a new version if it changes anything.
    pub(crate) fn set(&mut self, record: HostRecord) {
        if self.get(&record.host) == Some(&record) {
            return;
        }
        self.version += 1;
        let entry = Entry {
            version: self.version,
            merged: Duration::ZERO,
            record,
        };
        self.entries.insert(entry.record.host.clone(), entry);
    }

    /// Starts a new version without a change of a record.
    pub(crate) fn touch(&mut self) {
        self.version += 1;
    }

    /// Forgets a host. Receivers that had not heard that it is gone get the whole summary next time.
    pub(crate) fn remove(&mut self, host: &HostName) {
        if let Some(entry) = self.entries.remove(host) {
            self.floor = self.floor.max(entry.version);
        }
    }

    pub(crate) fn delta_since(&self, relay: &RelayId, since: u64, settled: bool) -> SummaryDelta {
        let from = if since < self.floor { 0 } else { since };
        let changed = self.entries.values().filter(|e| e.version > from);
        SummaryDelta {
            relay: relay.clone(),
            from,
            to: self.version,
            settled,
            records: changed.map(|e| (e.version, e.record.clone())).collect(),
        }
    }

    /// Takes a delta in; returns whether everything up to its end is now known.
    pub(crate) fn merge(&mut self, now: Duration, delta: &SummaryDelta) -> bool {
        for (version, record) in &delta.records {
            let known = self
                .entries
                .get(&record.host)
                .map_or(self.version, |e| e.version.max(self.version));
            if *version > known {
                let entry = Entry {
                    version: *version,
                    merged: now,
                    record: record.clone(),
                };
                self.entries.insert(record.host.clone(), entry);
            }
        }
        if delta.from == 0 && delta.to > self.version {
            self.keep_only(delta);
        }
        if delta.from <= self.version {
            self.version = self.version.max(delta.to);
        }
        delta.to <= self.version
    }

    /// Drops the hosts that a whole summary no longer lists.
    fn keep_only(&mut self, whole: &SummaryDelta) {
        let listed: std::collections::BTreeSet<_> =
            whole.records.iter().map(|(_, r)| &r.host).collect();
        self.entries
            .retain(|host, e| e.version > whole.to || listed.contains(host));
    }

    /// Drops hosts that have been gone for long; returns whether there were any.
    pub(crate) fn purge(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, e| e.record.presence != Presence::Gone || now < e.merged + KEEP_GONE);
        self.entries.len() < before
    }
}
