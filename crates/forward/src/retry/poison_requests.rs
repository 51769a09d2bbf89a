//! Detection of requests that crash their upstreams.
//!
//! A caller resends a request that crashed its upstream, at any entry. Entries record and share the
//! content of requests whose upstream closed the connection; a content is refused after several
//! upstreams crashed on it. A crash ends all requests that the upstream runs, so each run of an
//! upstream counts once per content, and a success clears the content: popular requests run during
//! crashes that they did not cause, and would be refused everywhere for a minute.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use coltsfootnotch_wire::{AbortRecord, EntryLoadReport, RefusedContent};

use super::unconfirmed::Unconfirmed;

/// Crashed runs of upstreams from which a content is refused. Two may be chance: a request that ran
/// beside a crash and was retried at an upstream that crashed as well.
const MIN_CRASHED_RUNS: usize = 3;

/// How long a crash counts. Callers resend within seconds; an upstream restarts within some more.
const RETENTION: Duration = Duration::from_secs(60);

/// Age of the last crash up to which hosts report a content as refused. Below the time for which it is, so
/// that two hosts don't keep each other's refusals alive by the time that reports take.
const REPORTED_FOR: Duration = Duration::from_secs(55);

/// Time within which all hosts know that a content succeeded. A refusal that is reported later with an earlier
/// crash comes from a host that missed it.
const CLEARED_WITHIN: Duration = Duration::from_secs(2);

/// Most contents recorded; a crash of a large engine adds a hundred.
const MAX_CONTENTS: usize = 10_000;

/// Most refused contents in a report. Those that crash upstreams are few; the bound is for chance.
const MAX_REPORTED: usize = 64;

#[derive(Debug, Clone, Default)]
struct Crashes {
    /// The crashed runs, up to the number for a refusal.
    runs: HashSet<u64>,
    /// Whether another host has reported as many.
    is_reported: bool,
    /// Whether the content was refused until the crashes before had expired. One more crash is enough then.
    was_refused: bool,
    /// When the crashes count no longer.
    until: Duration,
}

impl Crashes {
    fn count(&self) -> usize {
        let earlier = match (self.is_reported, self.was_refused) {
            (true, _) => MIN_CRASHED_RUNS,
            (false, true) => MIN_CRASHED_RUNS - 1,
            (false, false) => 0,
        };
        MIN_CRASHED_RUNS.min(earlier + self.runs.len())
    }

    fn is_current(&self, now: Duration) -> bool {
        now < self.until
    }

    fn is_refused(&self, now: Duration) -> bool {
        self.count() >= MIN_CRASHED_RUNS && self.is_current(now)
    }

    /// Drops crashes that count no longer.
    fn expire(&mut self, now: Duration) {
        if self.is_current(now) {
            return;
        }
        self.was_refused |= self.count() >= MIN_CRASHED_RUNS;
        self.is_reported = false;
        self.runs.clear();
    }
}

/// Contents of requests whose upstreams crashed.
///
/// The refused contents are reported in full each time, so that hosts that have started since, or have missed
/// a report while they selected another control host, refuse them as well.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::retry::PoisonRequests;
/// use coltsfootnotch_wire::AbortRecord;
/// let mut poison = PoisonRequests::default();
/// let now = Duration::from_secs(1);
/// poison.record(now, AbortRecord { content: 7, run: 1 });
/// poison.record(now, AbortRecord { content: 7, run: 2 });
/// assert!(!poison.is_refused(now, 7));
/// poison.record(now, AbortRecord { content: 7, run: 3 });
/// assert!(poison.is_refused(now, 7));
/// ```
#[derive(Debug, Clone, Default)]
pub struct PoisonRequests {
    by_content: HashMap<u64, Crashes>,
    /// When contents last succeeded that had crashed an upstream.
    cleared_at: HashMap<u64, Duration>,
    unreported: Unconfirmed<AbortRecord>,
    cleared: Vec<u64>,
}

impl PoisonRequests {
    /// Records that an upstream crashed while it ran a request of this entry with the content.
    pub fn record_local(&mut self, now: Duration, crash: AbortRecord) {
        self.unreported.push(crash);
        self.record(now, crash);
    }

    /// Records the same for a request of another entry.
    pub fn record(&mut self, now: Duration, crash: AbortRecord) {
        let Some(crashes) = self.crashes_of(now, crash.content) else {
            return;
        };
        crashes.expire(now);
        if crashes.runs.len() < MIN_CRASHED_RUNS {
            crashes.runs.insert(crash.run);
        }
        crashes.until = now + RETENTION;
    }

    /// Records that a request of this entry with the content succeeded.
    pub fn record_local_success(&mut self, now: Duration, content: u64) {
        if self.by_content.contains_key(&content) {
            self.record_success(now, content);
            self.cleared.push(content);
        }
    }

    /// Records the same for a request of another entry.
    pub fn record_success(&mut self, now: Duration, content: u64) {
        self.by_content.remove(&content);
        self.unreported.retain(|crash| crash.content != content);
        if self.cleared_at.len() >= MAX_CONTENTS {
            self.cleared_at
                .retain(|_, at| now.saturating_sub(*at) < RETENTION);
        }
        if self.cleared_at.len() < MAX_CONTENTS {
            self.cleared_at.insert(content, now);
        }
    }

    /// Records what other hosts have reported.
    pub fn apply_remote(&mut self, now: Duration, load: &EntryLoadReport) {
        for crash in &load.aborts {
            self.record(now, *crash);
        }
        for content in &load.cleared {
            self.record_success(now, *content);
        }
        for refused in &load.refused {
            self.record_refused(now, *refused);
        }
    }

    /// Records that another host refuses a content.
    pub fn record_refused(&mut self, now: Duration, refused: RefusedContent) {
        let age = Duration::from_millis(refused.crash_age_ms);
        if age >= REPORTED_FOR || self.is_refused(now, refused.content) {
            return;
        }
        let cleared_at = self.cleared_at.get(&refused.content);
        if cleared_at.is_some_and(|at| now < *at + CLEARED_WITHIN + age) {
            // The other host has missed that.
            self.cleared.push(refused.content);
            return;
        }
        if let Some(crashes) = self.crashes_of(now, refused.content) {
            crashes.is_reported = true;
            crashes.until = crashes.until.max(now + RETENTION.saturating_sub(age));
        }
    }

    /// The crashes of a content; none if too many are recorded.
    fn crashes_of(&mut self, now: Duration, content: u64) -> Option<&mut Crashes> {
        if self.by_content.len() >= MAX_CONTENTS {
            self.by_content.retain(|_, crashes| crashes.is_current(now));
        }
        let has_room = self.by_content.len() < MAX_CONTENTS;
        if !has_room && !self.by_content.contains_key(&content) {
            return None;
        }
        Some(self.by_content.entry(content).or_default())
    }

    /// Number of crashed runs that count against the content, up to the number for a refusal.
    #[must_use]
    pub fn crashed_runs(&self, content: u64) -> usize {
        let crashes = self.by_content.get(&content);
        crashes.map_or(0, Crashes::count)
    }

    /// Whether requests with the content are refused.
    #[must_use]
    pub fn is_refused(&self, now: Duration, content: u64) -> bool {
        let crashes = self.by_content.get(&content);
        crashes.is_some_and(|crashes| crashes.is_refused(now))
    }

    /// Has crashes that were reported lately reported again, to another control host: the one before may not
    /// have passed them on.
    pub fn repeat_reports(&mut self, now: Duration) {
        self.unreported.repeat(now);
    }

    /// Crashes, and contents cleared by a success, at this entry since the last report.
    pub fn report(&mut self, now: Duration) -> (Vec<AbortRecord>, Vec<u64>) {
        let crashes = self.unreported.take(now);
        (crashes, std::mem::take(&mut self.cleared))
    }

    /// The contents that are refused, those that crashed an upstream last if there are too many.
    #[must_use]
    pub fn refused(&self, now: Duration) -> Vec<RefusedContent> {
        let refused = self.by_content.iter().filter(|(_, c)| c.is_refused(now));
        let ages = refused.map(|(content, c)| (RETENTION.saturating_sub(c.until - now), *content));
        let mut ages: Vec<_> = ages.filter(|(age, _)| *age < REPORTED_FOR).collect();
        ages.sort_unstable();
        ages.truncate(MAX_REPORTED);
        let reports = ages.into_iter().map(|(age, content)| RefusedContent {
            content,
            crash_age_ms: age.as_millis() as u64,
        });
        reports.collect()
    }
}
