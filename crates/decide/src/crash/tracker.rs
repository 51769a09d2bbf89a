//! Crashes and clearances of the fleet, and the run policies derived from them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

use super::{Clearance, CrashDelta, CrashId, CrashReport, Cursor, Origin, RunPolicy, SuspectKey};

/// How long a crash counts, and so how long its cause is refused. Long enough for a caller's retry
/// loop to end; bounded, so that a request refused by mistake is accepted again.
const RETENTION: Duration = Duration::from_secs(600);

/// Crashes after which a request can be identified as the cause.
const CRASHES_TO_IDENTIFY: usize = 2;

#[derive(Debug, Clone)]
struct Crash {
    upstream: UpstreamName,
    suspects: BTreeSet<SuspectKey>,
    at: Duration,
}

#[derive(Debug, Clone)]
enum LogEntry {
    Crash(CrashId),
    Clearance(Clearance),
}

/// Collects crashes and clearances of the whole fleet and derives how requests may run.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::crash::{ContentDigest, CrashTracker, Origin, RunPolicy, SuspectKey};
/// use coltsfootnotch_types::{AccountName, HostName, Incarnation, UpstreamName};
/// # fn main() -> Result<(), coltsfootnotch_types::NameError> {
/// let local = Origin::new(HostName::new("sidecar-1")?, Incarnation(1));
/// let account = AccountName::new("bistro")?;
/// let bad = SuspectKey { account, content: ContentDigest([7; 32]) };
/// let mut tracker = CrashTracker::new(local);
/// let now = Duration::ZERO;
/// tracker.on_crash(&UpstreamName::new("u1")?, [bad.clone()], now);
/// assert_eq!(tracker.run_policy(&bad, now), RunPolicy::Isolated);
/// tracker.on_crash(&UpstreamName::new("u2")?, [bad.clone()], now);
/// assert!(matches!(tracker.run_policy(&bad, now), RunPolicy::Refused { .. }));
/// # Ok(()) }
/// ```
#[derive(Debug, Clone)]
pub struct CrashTracker {
    local: Origin,
    last_number: u64,
    crashes: BTreeMap<CrashId, Crash>,
    by_key: HashMap<SuspectKey, BTreeSet<CrashId>>,
    cleared: BTreeSet<Clearance>,
    log: BTreeMap<u64, LogEntry>,
    last_index: u64,
}

impl CrashTracker {
    /// A tracker of the process `local` without crashes.
    #[must_use]
    pub fn new(local: Origin) -> Self {
        Self {
            local,
            last_number: 0,
            crashes: BTreeMap::new(),
            by_key: HashMap::new(),
            cleared: BTreeSet::new(),
            log: BTreeMap::new(),
            last_index: 0,
        }
    }

    /// Records that an upstream crashed with the requests `in_flight`.
    ///
    /// A stopped upstream or a lost connection is not a crash.
    pub fn on_crash(
        &mut self,
        upstream: &UpstreamName,
        in_flight: impl IntoIterator<Item = SuspectKey>,
        now: Duration,
    ) {
        self.last_number += 1;
        let id = CrashId {
            origin: self.local.clone(),
            number: self.last_number,
        };
        let crash = Crash {
            upstream: upstream.clone(),
            suspects: in_flight.into_iter().collect(),
            at: now,
        };
        self.insert_crash(id, crash);
    }

    /// Records that an isolated suspect ended without a crash, which clears it of all crashes so
    /// far.
    pub fn on_success(&mut self, key: &SuspectKey) {
        let crashes = self.by_key.get(key).cloned().unwrap_or_default();
        for crash in crashes {
            let key = key.clone();
            self.clear(Clearance { key, crash });
        }
    }

    /// Whether and how a request may run.
    #[must_use]
    pub fn run_policy(&self, key: &SuspectKey, now: Duration) -> RunPolicy {
        let Some(crashes) = self.by_key.get(key) else {
            return RunPolicy::Unrestricted;
        };
        let of_key = || crashes.iter().filter(|id| self.is_suspect(key, id, now));
        if self.is_cause(key, now) {
            let last = of_key().map(|id| self.crashes[id].at).max();
            let since = now.saturating_sub(last.unwrap_or(now));
            let retry_after = RETENTION.saturating_sub(since);
            return RunPolicy::Refused { retry_after };
        }
        let unexplained = |id: &&CrashId| !self.is_explained(id, now);
        match of_key().find(unexplained) {
            Some(_) => RunPolicy::Isolated,
            None => RunPolicy::Unrestricted,
        }
    }

    /// Crashes of which a request is suspected.
    #[must_use]
    pub fn suspected_of(&self, key: &SuspectKey, now: Duration) -> Vec<CrashId> {
        let crashes = self.by_key.get(key).into_iter().flatten();
        crashes
            .filter(|id| self.is_suspect(key, id, now))
            .cloned()
            .collect()
    }

    /// Merges the crashes and clearances of another host.
    pub fn merge(&mut self, delta: &CrashDelta, now: Duration) {
        for report in &delta.reports {
            let crash = Crash {
                upstream: report.upstream.clone(),
                suspects: report.suspects.iter().cloned().collect(),
                at: now.saturating_sub(report.age),
            };
            self.insert_crash(report.id.clone(), crash);
        }
        for clearance in &delta.clearances {
            self.clear(clearance.clone());
        }
    }

    /// Crashes and clearances recorded after `cursor` that have not expired.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor, now: Duration) -> CrashDelta {
        let mut delta = CrashDelta {
            upto: Cursor(self.last_index),
            ..CrashDelta::default()
        };
        for (_, entry) in self.log.range(cursor.0 + 1..) {
            match entry {
                LogEntry::Crash(id) => delta.reports.extend(self.report(id, now)),
                LogEntry::Clearance(clearance) => delta.clearances.push(clearance.clone()),
            }
        }
        delta
    }

    /// Removes expired crashes; meant to be called about once a minute.
    pub fn remove_expired(&mut self, now: Duration) {
        let is_expired = |crash: &Crash| now.saturating_sub(crash.at) >= RETENTION;
        self.crashes.retain(|_, crash| !is_expired(crash));
        let crashes = &self.crashes;
        self.by_key.retain(|_, ids| {
            ids.retain(|id| crashes.contains_key(id));
            !ids.is_empty()
        });
        self.cleared.retain(|c| crashes.contains_key(&c.crash));
        self.log.retain(|_, entry| match entry {
            LogEntry::Crash(id) => crashes.contains_key(id),
            LogEntry::Clearance(c) => crashes.contains_key(&c.crash),
        });
    }

    fn insert_crash(&mut self, id: CrashId, crash: Crash) {
        if self.crashes.contains_key(&id) {
            return;
        }
        for key in &crash.suspects {
            let ids = self.by_key.entry(key.clone()).or_default();
            ids.insert(id.clone());
        }
        self.crashes.insert(id.clone(), crash);
        self.append(LogEntry::Crash(id));
    }

    fn clear(&mut self, clearance: Clearance) {
        if self.cleared.insert(clearance.clone()) {
            self.append(LogEntry::Clearance(clearance));
        }
    }

    fn append(&mut self, entry: LogEntry) {
        self.last_index += 1;
        self.log.insert(self.last_index, entry);
    }

    fn report(&self, id: &CrashId, now: Duration) -> Option<CrashReport> {
        let crash = self.crashes.get(id)?;
        Some(CrashReport {
            id: id.clone(),
            upstream: crash.upstream.clone(),
            suspects: crash.suspects.iter().cloned().collect(),
            age: now.saturating_sub(crash.at),
        })
    }

    /// Whether a request is a suspect of a crash and has not been cleared of it.
    fn is_suspect(&self, key: &SuspectKey, id: &CrashId, now: Duration) -> bool {
        let Some(crash) = self.crashes.get(id) else {
            return false;
        };
        let clearance = Clearance {
            key: key.clone(),
            crash: id.clone(),
        };
        let is_recent = now.saturating_sub(crash.at) < RETENTION;
        is_recent && crash.suspects.contains(key) && !self.cleared.contains(&clearance)
    }

    /// Whether a request is the only suspect common to all of its crashes, which are at least two.
    fn is_cause(&self, key: &SuspectKey, now: Duration) -> bool {
        let Some(crashes) = self.by_key.get(key) else {
            return false;
        };
        let of_key = crashes.iter().filter(|id| self.is_suspect(key, id, now));
        let of_key: Vec<_> = of_key.collect();
        if of_key.len() < CRASHES_TO_IDENTIFY {
            return false;
        }
        let others = |id: &CrashId| {
            let suspects = self.crashes[id].suspects.iter();
            let others = suspects.filter(|k| *k != key && self.is_suspect(k, id, now));
            others.collect::<BTreeSet<_>>()
        };
        let mut common = of_key.iter().map(|id| others(id));
        let first = common.next().unwrap_or_default();
        let common = common.fold(first, |a, b| &a & &b);
        common.is_empty()
    }

    /// Whether the cause of a crash has been identified, which clears the other suspects.
    fn is_explained(&self, id: &CrashId, now: Duration) -> bool {
        let suspects = self.crashes[id].suspects.iter();
        suspects
            .filter(|k| self.is_suspect(k, id, now))
            .any(|k| self.is_cause(k, now))
    }
}
