//! Detection of requests that crash their upstreams.
//!
//! A caller resends a request that crashed its upstream, at any entry. Entries record and share the
//! content of requests whose upstream closed the connection; a content is refused after several
//! upstreams crashed on it. A crash ends all requests that the upstream runs, so each run of an
//! upstream counts once per content, and a success clears the content: popular requests run during
//! crashes that they did not cause, and would be refused everywhere for a minute.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use coltsfootnotch_wire::AbortRecord;

/// Crashed runs of upstreams from which a content is refused. Two may be chance: a request that ran
/// beside a crash and was retried at an upstream that crashed as well.
const MIN_CRASHED_RUNS: usize = 3;

/// How long a crash counts. Callers resend within seconds; an upstream restarts within some more.
const RETENTION: Duration = Duration::from_secs(60);

/// Most contents recorded; a crash of a large engine adds a hundred.
const MAX_CONTENTS: usize = 10_000;

#[derive(Debug, Clone, Default)]
struct Crashes {
    /// The crashed runs, up to the number for a refusal.
    runs: HashSet<u64>,
    last: Duration,
}

/// Contents of requests whose upstreams crashed.
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
    unreported: Vec<AbortRecord>,
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
        if self.by_content.len() >= MAX_CONTENTS {
            self.by_content
                .retain(|_, b| now.saturating_sub(b.last) < RETENTION);
        }
        let content = crash.content;
        if self.by_content.len() >= MAX_CONTENTS && !self.by_content.contains_key(&content) {
            return;
        }
        let crashes = self.by_content.entry(content).or_default();
        if now.saturating_sub(crashes.last) >= RETENTION {
            crashes.runs.clear();
        }
        if crashes.runs.len() < MIN_CRASHED_RUNS {
            crashes.runs.insert(crash.run);
        }
        crashes.last = now;
    }

    /// Records that a request of this entry with the content succeeded.
    pub fn record_local_success(&mut self, content: u64) {
        if self.by_content.remove(&content).is_some() {
            self.cleared.push(content);
        }
    }

    /// Records the same for a request of another entry.
    pub fn record_success(&mut self, content: u64) {
        self.by_content.remove(&content);
    }

    /// Number of crashed runs that count against the content, up to the number for a refusal.
    #[must_use]
    pub fn crashed_runs(&self, content: u64) -> usize {
        let crashes = self.by_content.get(&content);
        crashes.map_or(0, |crashes| crashes.runs.len())
    }

    /// Whether requests with the content are refused.
    #[must_use]
    pub fn is_refused(&self, now: Duration, content: u64) -> bool {
        let crashes = self.by_content.get(&content);
        crashes.is_some_and(|b| {
            b.runs.len() >= MIN_CRASHED_RUNS && now.saturating_sub(b.last) < RETENTION
        })
    }

    /// Crashes, and contents cleared by a success, at this entry since the last report.
    pub fn report(&mut self) -> (Vec<AbortRecord>, Vec<u64>) {
        let crashes = std::mem::take(&mut self.unreported);
        (crashes, std::mem::take(&mut self.cleared))
    }
}
