//! Every crash that is known, and what follows from it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

use super::{Clearance, CrashDelta, CrashId, CrashReport, Cursor, Origin, SuspectKey, Verdict};

/// How long a crash is remembered, and so how long a request that crashed two upstreams is refused.
/// A caller's retry loop has given up by then, or an operator has been told; a request that was
/// refused wrongly, after two failures of hardware, gets through again.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);

/// Crashes that convict a request.
const CONVICTED_AFTER: usize = 2;

#[derive(Debug, Clone)]
struct Crash {
    upstream: UpstreamName,
    suspects: BTreeSet<SuspectKey>,
    at: Duration,
}

#[derive(Debug, Clone)]
enum Learned {
    Crash(CrashId),
    Clearance(Clearance),
}

/// Collects crashes and clearances of the whole fleet and judges requests by them.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::crash::{ContentDigest, CrashWatch, Origin, SuspectKey, Verdict};
/// use coltsfootnotch_types::{AccountName, HostName, Incarnation, UpstreamName};
/// # fn main() -> Result<(), coltsfootnotch_types::NameError> {
/// let own = Origin::new(HostName::new("sidecar-1")?, Incarnation(1));
/// let account = AccountName::new("bistro")?;
/// let bad = SuspectKey { account, content: ContentDigest([7; 32]) };
/// let mut watch = CrashWatch::new(own);
/// let now = Duration::ZERO;
/// watch.on_crash(&UpstreamName::new("u1")?, [bad.clone()], now);
/// assert_eq!(watch.verdict(&bad, now), Verdict::Apart);
/// watch.on_crash(&UpstreamName::new("u2")?, [bad.clone()], now);
/// assert!(matches!(watch.verdict(&bad, now), Verdict::Refused { .. }));
/// # Ok(()) }
/// ```
#[derive(Debug, Clone)]
pub struct CrashWatch {
    own: Origin,
    noticed: u64,
    crashes: BTreeMap<CrashId, Crash>,
    by_key: HashMap<SuspectKey, BTreeSet<CrashId>>,
    cleared: BTreeSet<Clearance>,
    learned: BTreeMap<u64, Learned>,
    last_place: u64,
}

impl CrashWatch {
    /// A watch of the host `own` that knows of no crash.
    #[must_use]
    pub fn new(own: Origin) -> Self {
        Self {
            own,
            noticed: 0,
            crashes: BTreeMap::new(),
            by_key: HashMap::new(),
            cleared: BTreeSet::new(),
            learned: BTreeMap::new(),
            last_place: 0,
        }
    }

    /// Notes that an upstream crashed while `in_flight` ran on it.
    ///
    /// An upstream that is stopped, or whose connection is lost, has not crashed.
    pub fn on_crash(
        &mut self,
        upstream: &UpstreamName,
        in_flight: impl IntoIterator<Item = SuspectKey>,
        now: Duration,
    ) {
        self.noticed += 1;
        let id = CrashId {
            origin: self.own.clone(),
            number: self.noticed,
        };
        let crash = Crash {
            upstream: upstream.clone(),
            suspects: in_flight.into_iter().collect(),
            at: now,
        };
        self.store(id, crash);
    }

    /// Notes that a suspect, kept apart, ended well: it is cleared of all crashes so far.
    pub fn on_ended_well(&mut self, key: &SuspectKey) {
        let crashes = self.by_key.get(key).cloned().unwrap_or_default();
        for crash in crashes {
            let key = key.clone();
            self.clear(Clearance { key, crash });
        }
    }

    /// How a request may run.
    #[must_use]
    pub fn verdict(&self, key: &SuspectKey, now: Duration) -> Verdict {
        let Some(crashes) = self.by_key.get(key) else {
            return Verdict::Free;
        };
        let of_key = || crashes.iter().filter(|id| self.is_suspect(key, id, now));
        if self.is_convicted(key, now) {
            let last = of_key().map(|id| self.crashes[id].at).max();
            let since = now.saturating_sub(last.unwrap_or(now));
            let retry_after = REMEMBERED_FOR.saturating_sub(since);
            return Verdict::Refused { retry_after };
        }
        let unexplained = |id: &&CrashId| !self.is_explained(id, now);
        match of_key().find(unexplained) {
            Some(_) => Verdict::Apart,
            None => Verdict::Free,
        }
    }

    /// The crashes that a request is suspected of, to be cleared of when it ends well.
    #[must_use]
    pub fn suspected_of(&self, key: &SuspectKey, now: Duration) -> Vec<CrashId> {
        let crashes = self.by_key.get(key).into_iter().flatten();
        crashes
            .filter(|id| self.is_suspect(key, id, now))
            .cloned()
            .collect()
    }

    /// Takes in what another host knows.
    pub fn merge(&mut self, delta: &CrashDelta, now: Duration) {
        for report in &delta.reports {
            let crash = Crash {
                upstream: report.upstream.clone(),
                suspects: report.suspects.iter().cloned().collect(),
                at: now.saturating_sub(report.age),
            };
            self.store(report.id.clone(), crash);
        }
        for clearance in &delta.clearances {
            self.clear(clearance.clone());
        }
    }

    /// Everything learned after `cursor` and not yet forgotten.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor, now: Duration) -> CrashDelta {
        let mut delta = CrashDelta {
            upto: Cursor(self.last_place),
            ..CrashDelta::default()
        };
        for (_, learned) in self.learned.range(cursor.0 + 1..) {
            match learned {
                Learned::Crash(id) => delta.reports.extend(self.report(id, now)),
                Learned::Clearance(clearance) => delta.clearances.push(clearance.clone()),
            }
        }
        delta
    }

    /// Forgets crashes that no longer count; call it about once a minute.
    pub fn forget_old(&mut self, now: Duration) {
        let is_old = |crash: &Crash| now.saturating_sub(crash.at) >= REMEMBERED_FOR;
        self.crashes.retain(|_, crash| !is_old(crash));
        let crashes = &self.crashes;
        self.by_key.retain(|_, ids| {
            ids.retain(|id| crashes.contains_key(id));
            !ids.is_empty()
        });
        self.cleared.retain(|c| crashes.contains_key(&c.crash));
        self.learned.retain(|_, learned| match learned {
            Learned::Crash(id) => crashes.contains_key(id),
            Learned::Clearance(c) => crashes.contains_key(&c.crash),
        });
    }

    fn store(&mut self, id: CrashId, crash: Crash) {
        if self.crashes.contains_key(&id) {
            return;
        }
        for key in &crash.suspects {
            let ids = self.by_key.entry(key.clone()).or_default();
            ids.insert(id.clone());
        }
        self.crashes.insert(id.clone(), crash);
        self.learn(Learned::Crash(id));
    }

    fn clear(&mut self, clearance: Clearance) {
        if self.cleared.insert(clearance.clone()) {
            self.learn(Learned::Clearance(clearance));
        }
    }

    fn learn(&mut self, learned: Learned) {
        self.last_place += 1;
        self.learned.insert(self.last_place, learned);
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

    /// Whether a request is one of a crash's suspects and has not been cleared of it.
    fn is_suspect(&self, key: &SuspectKey, id: &CrashId, now: Duration) -> bool {
        let Some(crash) = self.crashes.get(id) else {
            return false;
        };
        let clearance = Clearance {
            key: key.clone(),
            crash: id.clone(),
        };
        let is_recent = now.saturating_sub(crash.at) < REMEMBERED_FOR;
        is_recent && crash.suspects.contains(key) && !self.cleared.contains(&clearance)
    }

    /// Whether a request is the only one that two crashes have in common.
    fn is_convicted(&self, key: &SuspectKey, now: Duration) -> bool {
        let Some(crashes) = self.by_key.get(key) else {
            return false;
        };
        let of_key = crashes.iter().filter(|id| self.is_suspect(key, id, now));
        let of_key: Vec<_> = of_key.collect();
        if of_key.len() < CONVICTED_AFTER {
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

    /// Whether one of a crash's suspects has been convicted, which clears the others.
    fn is_explained(&self, id: &CrashId, now: Duration) -> bool {
        let suspects = self.crashes[id].suspects.iter();
        suspects
            .filter(|k| self.is_suspect(k, id, now))
            .any(|k| self.is_convicted(k, now))
    }
}
