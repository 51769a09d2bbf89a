//! Retry budget that all entries together keep without coordination.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{RetryBucket, RetryHistory, RetryReport, ServiceRetries};

use super::earlier_runs::EarlierRuns;
use super::retry_counts::{RetryCounts, RetrySum};

/// Share of the operator's limit that is used, since requests are spread unevenly and the number of
/// entries is known with a delay.
const USED_SHARE: f64 = 0.7;

/// Part of its budget that an entry uses in the first window after its start while it doesn't know what
/// earlier processes of its host have sent. With a predecessor that has used all of its budget it stays
/// within 0.7 x 1.25 of the operator's limit.
const UNKNOWN_SHARE: f64 = 0.25;

/// Part of a budget after which retries are reported at once. An entry that is killed takes no more than
/// this with it that no control host knows, so that its successor sends at most 0.7 x 1.125 of its part of the
/// operator's limit with it.
const UNREPORTED_SHARE: f64 = 0.125;

/// The operator's limit on retries, per service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries per request in a window.
    pub ratio: f64,
    /// Retries in a window regardless of requests, over all entries.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// What earlier processes of a host have sent in the window, over all services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlierRetries {
    /// Requests of callers.
    pub requests: u32,
    /// Requests that were sent again.
    pub retries: u32,
}

/// Retry budget of this entry.
///
/// Each entry uses its share: the ratio of its own requests, and the slack divided by the number of
/// entries. The sum keeps the limit however requests are spread. An entry goes on with the budget of the
/// process before it on its host, as control hosts know it: [`RetryBudget::succeeding`].
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::retry::{RetryLimit, RetryBudget};
/// let limit = RetryLimit { ratio: 0.2, slack: 30.0, window: Duration::from_secs(10) };
/// let mut budget = RetryBudget::new(limit);
/// let now = Duration::from_secs(1);
/// assert!(!budget.try_acquire(now, "orders", None), "the number of entries is not known yet");
/// assert!(budget.try_acquire(now, "orders", Some(10)));
/// let more = (0..10).filter(|_| budget.try_acquire(now, "orders", Some(10))).count();
/// assert_eq!(more, 1, "a tenth of the slack, less the margin");
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// When this process was started, if there may have been an earlier one.
    started: Option<Duration>,
    counts: RetryCounts,
    earlier: EarlierRuns,
    unreported: HashMap<Arc<str>, RetrySum>,
    last_report: u64,
    /// Whether so much is unreported that a report is due at once.
    is_report_due: bool,
}

impl RetryBudget {
    /// An unused budget on a host that ran no entry before.
    #[must_use]
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            started: None,
            counts: RetryCounts::new(limit.window),
            earlier: EarlierRuns::new(limit.window),
            unreported: HashMap::new(),
            last_report: 0,
            is_report_due: false,
        }
    }

    /// The budget of an entry that was started at `started` and may have had a predecessor. Until control
    /// hosts have told what that has sent, or for a window, it has a part of the ratio and no slack.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::retry::{RetryLimit, RetryBudget, RetryRecords};
    /// let limit = RetryLimit { ratio: 0.2, slack: 30.0, window: Duration::from_secs(10) };
    /// let at = Duration::from_secs;
    /// let mut records = RetryRecords::new(at(0), true);
    /// let mut first = RetryBudget::new(limit);
    /// assert!((0..21).all(|_| first.try_acquire(at(1), "orders", Some(1))));
    /// let report = first.take_report(at(1), true).expect("there is something to report");
    /// records.record(at(1), "entry-1", 1, &report);
    ///
    /// let mut second = RetryBudget::succeeding(limit, at(2));
    /// assert!(!second.try_acquire(at(2), "orders", Some(1)), "nothing is known yet");
    /// second.on_history(at(2), "control-1", &records.history(at(2), "entry-1", 2, 1));
    /// assert!(!second.try_acquire(at(3), "orders", Some(1)), "the first has used all");
    /// assert!(second.try_acquire(at(13), "orders", Some(1)));
    /// ```
    #[must_use]
    pub fn succeeding(limit: RetryLimit, started: Duration) -> Self {
        Self {
            started: Some(started),
            ..Self::new(limit)
        }
    }

    /// Records a request for the service.
    pub fn on_request(&mut self, now: Duration, service: &str) {
        let request = RetrySum {
            requests: 1,
            retries: 0,
        };
        self.count(now, service, request);
    }

    /// Takes one retry from the budget, if it has one; `entries` is the number of entries that
    /// share the limit. While it is not known, as after a loss of power, there is no slack: all entries
    /// start at once, and each would use all of it.
    pub fn try_acquire(&mut self, now: Duration, service: &str, entries: Option<u32>) -> bool {
        let is_known = self.knows_earlier(now);
        let mut sent = self.counts.sum(now, service);
        if is_known {
            sent.add(self.earlier.sum(now, service));
        }
        let entries = entries.filter(|_| is_known);
        let share = if is_known { 1.0 } else { UNKNOWN_SHARE };
        let slack = entries.map_or(0.0, |n| self.limit.slack / f64::from(n.max(1)));
        let allowed = (f64::from(sent.requests) * self.limit.ratio + slack) * USED_SHARE * share;
        if f64::from(sent.retries) + 1.0 > allowed {
            return false;
        }
        let retry = RetrySum {
            requests: 0,
            retries: 1,
        };
        self.count(now, service, retry);
        let unreported = self.unreported.get(service).map_or(0, |sum| sum.retries);
        self.is_report_due |= f64::from(unreported) >= allowed * UNREPORTED_SHARE;
        true
    }

    /// Records what the control host `from` knows of earlier processes of this host. Returns what they have
    /// sent if this answer completes it.
    pub fn on_history(
        &mut self,
        now: Duration,
        from: &str,
        history: &RetryHistory,
    ) -> Option<EarlierRetries> {
        let was_known = self.knows_earlier(now);
        self.earlier.record(now, from, history);
        if was_known || !self.knows_earlier(now) {
            return None;
        }
        let total = self.earlier.total();
        Some(EarlierRetries {
            requests: total.requests,
            retries: total.retries,
        })
    }

    /// Whether it is known what earlier processes of this host have sent in the window that ends now.
    #[must_use]
    pub fn knows_earlier(&self, now: Duration) -> bool {
        let is_past = |started| now >= started + self.limit.window;
        self.started.is_none_or(is_past) || self.earlier.is_known(now)
    }

    /// Whether a report must not wait for the next period.
    #[must_use]
    pub fn is_report_due(&self) -> bool {
        self.is_report_due
    }

    /// What was counted since the last report, or all if the receiver has had none yet; none if there is nothing.
    pub fn take_report(&mut self, now: Duration, is_whole: bool) -> Option<RetryReport> {
        self.is_report_due = false;
        let unreported = std::mem::take(&mut self.unreported);
        if !is_whole && unreported.is_empty() {
            return None;
        }
        let services = if is_whole {
            self.counts.expire(now);
            self.counts.report(now)
        } else {
            unreported.into_iter().map(new_counts).collect()
        };
        self.last_report += 1;
        Some(RetryReport {
            number: self.last_report,
            is_whole,
            services,
        })
    }

    fn count(&mut self, now: Duration, service: &str, added: RetrySum) {
        self.counts.add(now, service, added);
        match self.unreported.get_mut(service) {
            Some(sum) => sum.add(added),
            None => {
                self.unreported.insert(service.into(), added);
            }
        }
    }
}

/// Counts since the last report, at most a period ago.
fn new_counts((service, sum): (Arc<str>, RetrySum)) -> ServiceRetries {
    ServiceRetries {
        service: service.to_string(),
        buckets: vec![RetryBucket {
            age_ms: 0,
            requests: sum.requests,
            retries: sum.retries,
        }],
    }
}
