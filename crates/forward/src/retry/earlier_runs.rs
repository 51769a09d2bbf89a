//! What the earlier processes of an entry's host have sent, as control hosts tell.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::RetryHistory;

use super::retry_counts::{RetryCounts, RetrySum};
use super::retry_records::RETENTION;

/// Time after the first answer for which those of the other control hosts are waited for. They are connected within
/// some hundred milliseconds; one that is cut off doesn't answer at all.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests and retries of the earlier processes of this host.
///
/// Each control host tells what was reported to it. A process that ended had reported to one of them last,
/// with all that it had counted. Its successor waits for the others as well: one from which the process was
/// disconnected takes an earlier report for the last one.
#[derive(Debug, Clone)]
pub(super) struct EarlierRuns {
    window: Duration,
    /// By incarnation, with the number of the report.
    runs: BTreeMap<u64, (u64, RetryCounts)>,
    answered: BTreeSet<Arc<str>>,
    first_answer: Option<Duration>,
    control_hosts: usize,
    /// Least time for which a control host that answered knows of all reports to it.
    known_for: Duration,
    has_last: bool,
}

impl EarlierRuns {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            runs: BTreeMap::new(),
            answered: BTreeSet::new(),
            first_answer: None,
            control_hosts: 1,
            known_for: Duration::MAX,
            has_last: false,
        }
    }

    /// Records the answer of the control host `from`.
    pub(super) fn record(&mut self, now: Duration, from: &str, history: &RetryHistory) {
        for earlier in &history.runs {
            self.has_last |= earlier.is_last;
            let known = self.runs.get(&earlier.run);
            if known.is_some_and(|(number, _)| *number >= earlier.number) {
                continue;
            }
            let mut counts = RetryCounts::new(self.window);
            counts.add_report(now, &earlier.services);
            self.runs.insert(earlier.run, (earlier.number, counts));
        }
        self.answered.insert(from.into());
        self.first_answer.get_or_insert(now);
        let control_hosts = usize::try_from(history.control_hosts).unwrap_or(usize::MAX);
        self.control_hosts = self.control_hosts.max(control_hosts);
        let known_for = Duration::from_millis(history.known_for_ms.into());
        self.known_for = self.known_for.min(known_for);
    }

    /// Whether all is known that earlier processes have reported in a window.
    pub(super) fn is_known(&self, now: Duration) -> bool {
        let has_all = self.answered.len() >= self.control_hosts;
        let is_over = |at| now >= at + ANSWER_TIMEOUT;
        let has_last = self.has_last && self.window <= RETENTION;
        has_last && (has_all || self.first_answer.is_some_and(is_over))
            || has_all && self.known_for >= self.window
    }

    /// What they have sent in the window that ends now.
    pub(super) fn sum(&mut self, now: Duration, service: &str) -> RetrySum {
        let mut sum = RetrySum::default();
        for (_, counts) in self.runs.values_mut() {
            sum.add(counts.sum(now, service));
        }
        sum
    }

    /// What they have sent in the window, over all services.
    pub(super) fn total(&self) -> RetrySum {
        let mut sum = RetrySum::default();
        let runs = self.runs.values();
        runs.for_each(|(_, counts)| sum.add(counts.total()));
        sum
    }
}
