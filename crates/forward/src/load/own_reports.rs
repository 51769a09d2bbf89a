//! The reports of an entry that the totals it receives include.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use coltsfootnotch_wire::{AccountDemand, EntryLoadReport, UpstreamUsage};

use super::sums::{add_account, add_counters, add_in_flight};

/// Most reports kept without being included in totals, some seconds of them.
const MAX_REPORTS: usize = 64;

/// A report that totals may not include yet.
#[derive(Debug, Clone)]
struct PendingReport {
    number: u64,
    at: Duration,
    report: EntryLoadReport,
}

/// Reports of an entry, numbered from 1, of which the totals that it receives include all up to some number.
///
/// Control hosts send the same totals to all entries, and each subtracts what it reported itself.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::OwnReports;
/// use coltsfootnotch_wire::{EntryLoadReport, UpstreamUsage};
/// let load = |running| EntryLoadReport {
///     upstreams: vec![UpstreamUsage { id: "spec-1".to_owned(), running, ..Default::default() }],
///     ..Default::default()
/// };
/// let mut own = OwnReports::default();
/// let number = own.record(Duration::from_secs(1), &load(2));
/// let others = own.subtract(number, load(5));
/// assert_eq!(others.upstreams[0].running, 3);
/// assert_eq!(own.included_at(), Some(Duration::from_secs(1)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct OwnReports {
    last: u64,
    /// Reports after those that the last totals included.
    pending: VecDeque<PendingReport>,
    /// The last report that totals included.
    included: EntryLoadReport,
    included_at: Option<Duration>,
}

impl OwnReports {
    /// Records a report that is sent, and returns its number.
    pub fn record(&mut self, now: Duration, report: &EntryLoadReport) -> u64 {
        self.last += 1;
        if self.pending.len() >= MAX_REPORTS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingReport {
            number: self.last,
            at: now,
            report: report.clone(),
        });
        self.last
    }

    /// When the last report was sent that the totals include.
    #[must_use]
    pub fn included_at(&self) -> Option<Duration> {
        self.included_at
    }

    /// The totals of the other entries: `totals` without the reports up to the number `included`, whose
    /// counters were not subtracted before. Zero stands for no report.
    pub fn subtract(&mut self, included: u64, totals: EntryLoadReport) -> EntryLoadReport {
        let mut own = BTreeMap::new();
        let mut accounts = BTreeMap::new();
        let mut cleared = BTreeSet::<u64>::new();
        while let Some(pending) = self.pending.pop_front_if(|p| p.number <= included) {
            let report = pending.report;
            self.included_at = Some(pending.at);
            for used in &report.upstreams {
                add_counters(&mut own, used);
            }
            for used in &report.accounts {
                add_account(&mut accounts, used);
            }
            cleared.extend(&report.cleared);
            self.included = report;
        }
        if included == 0 {
            self.included = EntryLoadReport::default();
            self.included_at = None;
        }
        for used in &self.included.upstreams {
            add_in_flight(&mut own, used);
        }
        let upstreams = totals
            .upstreams
            .into_iter()
            .map(|total| match own.get(&total.id) {
                Some(own) => subtract_usage(total, own),
                None => total,
            });
        let others = totals.accounts.into_iter().map(|total| {
            let own = accounts.get(&total.account);
            AccountDemand {
                requested: total
                    .requested
                    .saturating_sub(own.map_or(0, |own| own.requested)),
                admitted: total
                    .admitted
                    .saturating_sub(own.map_or(0, |own| own.admitted)),
                account: total.account,
            }
        });
        EntryLoadReport {
            upstreams: upstreams.filter(|used| !used.is_unused()).collect(),
            accounts: others
                .filter(|a| a.requested > 0 || a.admitted > 0)
                .collect(),
            cleared: totals
                .cleared
                .iter()
                .copied()
                .filter(|content| !cleared.contains(content))
                .collect(),
            ..totals
        }
    }
}

/// What is left of `total` without `own`. Totals of another control host may lack some of it for a moment.
fn subtract_usage(total: UpstreamUsage, own: &UpstreamUsage) -> UpstreamUsage {
    UpstreamUsage {
        waiting_tokens: total.waiting_tokens.saturating_sub(own.waiting_tokens),
        running: total.running.saturating_sub(own.running),
        held_tokens: total.held_tokens.saturating_sub(own.held_tokens),
        elapsed_ms: total.elapsed_ms.saturating_sub(own.elapsed_ms),
        expected_ms: total.expected_ms.saturating_sub(own.expected_ms),
        failed: total.failed.saturating_sub(own.failed),
        succeeded: total.succeeded.saturating_sub(own.succeeded),
        id: total.id,
    }
}
