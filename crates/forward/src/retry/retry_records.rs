//! Requests and retries that entries have reported to a control host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{EarlierRun, RetryHistory, RetryReport};

use super::retry_counts::RetryCounts;
use crate::load::EntryCount;

/// Time for which reports are kept: the usual window of limits, and the time that an entry takes to restart.
/// With a longer window a successor doesn't know all.
pub(super) const RETENTION: Duration = Duration::from_secs(20);

/// Time after the start from which the number of entries is told: all report within a second, also those that
/// had selected another control host. An entry that took a part for the fleet would use too much of the slack.
const ENTRIES_KNOWN_AFTER: Duration = Duration::from_secs(2);

/// What one process of an entry has reported.
#[derive(Debug, Clone)]
struct RunRecord {
    number: u64,
    counts: RetryCounts,
    /// Whether it reports to another control host now, or a later process has connected since.
    is_past: bool,
}

/// The requests and retries that entries have reported to this control host, by host and process.
///
/// An entry that starts hears from each control host what it knows of the earlier processes of its host, so
/// control hosts exchange nothing.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::retry::RetryRecords;
/// use coltsfootnotch_wire::RetryReport;
/// let at = Duration::from_secs;
/// let mut records = RetryRecords::new(at(0), true);
/// let report = RetryReport { number: 1, is_whole: true, services: Vec::new() };
/// records.record(at(1), "entry-1", 7, &report);
/// let history = records.history(at(2), "entry-1", 8, 3);
/// assert_eq!(history.runs.len(), 1, "what the earlier process has sent");
/// assert!(records.history(at(2), "entry-2", 9, 3).runs.is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct RetryRecords {
    by_host: BTreeMap<Arc<str>, BTreeMap<u64, RunRecord>>,
    /// Since when all reports to this control host are known and none was lost with another one; none since
    /// the fleet's first start.
    known_since: Option<Duration>,
    started: Duration,
    entries: EntryCount,
}

impl RetryRecords {
    /// The records of a control host that starts now; `is_first_start` if the whole fleet starts for the first
    /// time, so that no entry can have reported before.
    #[must_use]
    pub fn new(now: Duration, is_first_start: bool) -> Self {
        Self {
            by_host: BTreeMap::new(),
            known_since: (!is_first_start).then_some(now),
            started: now,
            entries: EntryCount::default(),
        }
    }

    /// Records a report of the process `run` of an entry's host.
    pub fn record(&mut self, now: Duration, host: &str, run: u64, report: &RetryReport) {
        if !self.by_host.contains_key(host) {
            self.by_host.insert(host.into(), BTreeMap::new());
        }
        let runs = self.by_host.get_mut(host).expect("inserted above");
        let record = runs.entry(run).or_insert_with(|| RunRecord {
            number: 0,
            counts: RetryCounts::new(RETENTION),
            is_past: false,
        });
        if report.number <= record.number {
            return;
        }
        if report.is_whole {
            record.counts = RetryCounts::new(RETENTION);
        }
        record.number = report.number;
        record.is_past = false;
        record.counts.add_report(now, &report.services);
    }

    /// The process `run` of an entry's host reports to another control host from now on.
    pub fn on_moved(&mut self, host: &str, run: u64) {
        let record = self.by_host.get_mut(host).and_then(|r| r.get_mut(&run));
        if let Some(record) = record {
            record.is_past = true;
        }
    }

    /// The connection to another control host has ended, which may have had reports that none else has.
    pub fn on_control_host_lost(&mut self, now: Duration) {
        self.known_since = Some(now);
    }

    /// Records the number of entries, and removes what is too old to matter.
    pub fn on_round(&mut self, now: Duration, entries: u32) {
        if now >= self.started + ENTRIES_KNOWN_AFTER {
            self.entries.record(now, entries);
        }
        for runs in self.by_host.values_mut() {
            runs.retain(|_, record| {
                record.counts.expire(now);
                !record.counts.is_empty()
            });
        }
        self.by_host.retain(|_, runs| !runs.is_empty());
    }

    /// What the process `run` of an entry's host has to know of the earlier ones; `control_hosts` is the number
    /// of control hosts that are connected, with this one. The process after it can't rely on the earlier ones
    /// alone.
    pub fn history(
        &mut self,
        now: Duration,
        host: &str,
        run: u64,
        control_hosts: u32,
    ) -> RetryHistory {
        let runs = self.by_host.get_mut(host).into_iter().flatten();
        let earlier = runs.filter(|(other, _)| **other != run);
        let runs = earlier.map(|(run, record)| EarlierRun {
            run: *run,
            number: record.number,
            is_last: !std::mem::replace(&mut record.is_past, true),
            services: record.counts.report(now),
        });
        let known_since = self.known_since;
        // Reports from before may have expired.
        let has_expired = now >= self.started + RETENTION;
        let known_since = known_since.or(has_expired.then_some(self.started));
        let known_for = known_since.map(|at| now.saturating_sub(at).min(RETENTION).as_millis());
        RetryHistory {
            runs: runs.collect(),
            known_for_ms: known_for.map_or(u32::MAX, |ms| u32::try_from(ms).unwrap_or(u32::MAX)),
            control_hosts,
            entries: self.entries.sharing().unwrap_or(0),
            refused: Vec::new(),
        }
    }
}
