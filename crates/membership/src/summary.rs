//! The versioned summary of the hosts of one relay, exchanged as deltas.
//!
//! Each record carries the version of its last change. A receiver ignores records up to the version
//! that it has merged without a gap, and of any others keeps the higher version: so deltas can be
//! duplicated and reordered.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::HostName;
use serde::{Deserialize, Serialize};

use crate::timing::TOMBSTONE_RETENTION;
use crate::{HostRecord, Presence, RelayId};

/// Changes of a summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryDelta {
    /// The run of the relay that the summary belongs to.
    pub relay: RelayId,
    /// The version after which every change is included; zero for the full summary.
    pub from: u64,
    /// The version after applying the delta.
    pub to: u64,
    /// Whether the relay has run long enough to have received a heartbeat of every connected host.
    /// Until then a host without a record may still be present.
    pub settled: bool,
    /// The changed records, each with its version.
    pub records: Vec<(u64, HostRecord)>,
}

#[derive(Debug, Clone)]
struct Entry {
    version: u64,
    merged_at: Duration,
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
    /// The current version; at a receiver the version merged without a gap.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The records of all hosts, including those that are gone.
    pub fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.entries.values().map(|e| &e.record)
    }

    /// The record of `host`.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&HostRecord> {
        self.entries.get(host).map(|e| &e.record)
    }

    /// Inserts or replaces a record under a new version, if it differs from the present one.
    pub(crate) fn set(&mut self, record: HostRecord) {
        if self.get(&record.host) == Some(&record) {
            return;
        }
        self.version += 1;
        let entry = Entry {
            version: self.version,
            merged_at: Duration::ZERO,
            record,
        };
        self.entries.insert(entry.record.host.clone(), entry);
    }

    /// Increments the version without a change of a record.
    pub(crate) fn touch(&mut self) {
        self.version += 1;
    }

    /// Removes a host. Receivers whose version precedes its last record get the full summary next.
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

    /// Merges a delta; returns whether no change up to `delta.to` is missing.
    pub(crate) fn merge(&mut self, now: Duration, delta: &SummaryDelta) -> bool {
        for (version, record) in &delta.records {
            let known_version = self
                .entries
                .get(&record.host)
                .map_or(self.version, |e| e.version.max(self.version));
            if *version > known_version {
                let entry = Entry {
                    version: *version,
                    merged_at: now,
                    record: record.clone(),
                };
                self.entries.insert(record.host.clone(), entry);
            }
        }
        if delta.from == 0 && delta.to > self.version {
            self.retain_listed(delta);
        }
        if delta.from <= self.version {
            self.version = self.version.max(delta.to);
        }
        delta.to <= self.version
    }

    /// Drops the hosts that a full summary no longer lists.
    fn retain_listed(&mut self, full: &SummaryDelta) {
        let listed: std::collections::BTreeSet<_> =
            full.records.iter().map(|(_, r)| &r.host).collect();
        self.entries
            .retain(|host, e| e.version > full.to || listed.contains(host));
    }

    /// Drops expired tombstones; returns whether there were any.
    pub(crate) fn purge(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, e| {
            e.record.presence != Presence::Gone || now < e.merged_at + TOMBSTONE_RETENTION
        });
        self.entries.len() < before
    }
}
