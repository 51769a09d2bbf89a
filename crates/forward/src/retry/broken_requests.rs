//! Requests during which upstreams broke off, again and again.
//!
//! A request that crashes its upstream comes again from its caller, with the same content, at any
//! entry. Every entry notes the content of a request whose upstream broke the connection off, and the
//! entries tell each other. The third upstream that breaks off the same content is no accident: requests
//! that merely ran beside it differ from crash to crash.
//!
//! Two things look like it and are not. One crash breaks off every request that the upstream runs, and
//! many of them may ask the same: a run of an upstream counts once. And a content that is asked for
//! hundreds of times a minute meets three crashes by chance: a request with it that ends well shows that
//! it was not the cause. Without these two a popular request would be refused everywhere for a minute
//! after an upstream crashed.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use coltsfootnotch_wire::BreakWord;

/// Runs of upstreams that broke off after which a content is refused. With two, requests that ran beside
/// a crash and were sent to an upstream that crashed as well would be refused.
const REFUSED_FROM: usize = 3;

/// How long a break counts. Callers that repeat do so within seconds; an upstream needs some seconds
/// to come back.
const MEMORY: Duration = Duration::from_secs(60);

/// Most contents that are remembered: a crash of a large engine adds a hundred.
const MAX_CONTENTS: usize = 10_000;

#[derive(Debug, Clone, Default)]
struct Breaks {
    /// The runs that broke off; no more than are needed.
    runs: HashSet<u64>,
    last: Duration,
}

/// Contents of requests during which upstreams broke off.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::retry::BrokenRequests;
/// use coltsfootnotch_wire::BreakWord;
/// let mut broken = BrokenRequests::default();
/// let now = Duration::from_secs(1);
/// broken.note(now, BreakWord { content: 7, run: 1 });
/// broken.note(now, BreakWord { content: 7, run: 2 });
/// assert!(!broken.is_refused(now, 7));
/// broken.note(now, BreakWord { content: 7, run: 3 });
/// assert!(broken.is_refused(now, 7));
/// ```
#[derive(Debug, Clone, Default)]
pub struct BrokenRequests {
    by_content: HashMap<u64, Breaks>,
    unreported: Vec<BreakWord>,
    mended: Vec<u64>,
}

impl BrokenRequests {
    /// An upstream broke off while it ran a request with the content.
    pub fn note_own(&mut self, now: Duration, broken: BreakWord) {
        self.unreported.push(broken);
        self.note(now, broken);
    }

    /// The same at another entry.
    pub fn note(&mut self, now: Duration, broken: BreakWord) {
        if self.by_content.len() >= MAX_CONTENTS {
            self.by_content
                .retain(|_, b| now.saturating_sub(b.last) < MEMORY);
        }
        let content = broken.content;
        if self.by_content.len() >= MAX_CONTENTS && !self.by_content.contains_key(&content) {
            return;
        }
        let breaks = self.by_content.entry(content).or_default();
        if now.saturating_sub(breaks.last) >= MEMORY {
            breaks.runs.clear();
        }
        if breaks.runs.len() < REFUSED_FROM {
            breaks.runs.insert(broken.run);
        }
        breaks.last = now;
    }

    /// A request with the content ended well here.
    pub fn note_own_success(&mut self, content: u64) {
        if self.by_content.remove(&content).is_some() {
            self.mended.push(content);
        }
    }

    /// The same at another entry.
    pub fn note_success(&mut self, content: u64) {
        self.by_content.remove(&content);
    }

    /// Whether requests with the content are refused.
    #[must_use]
    pub fn is_refused(&self, now: Duration, content: u64) -> bool {
        let breaks = self.by_content.get(&content);
        breaks.is_some_and(|b| b.runs.len() >= REFUSED_FROM && now.saturating_sub(b.last) < MEMORY)
    }

    /// What was noted here since the last report: breaks, and contents that ended well after one.
    pub fn report(&mut self) -> (Vec<BreakWord>, Vec<u64>) {
        let broken = std::mem::take(&mut self.unreported);
        (broken, std::mem::take(&mut self.mended))
    }
}
