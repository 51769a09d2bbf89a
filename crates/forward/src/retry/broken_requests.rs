//! Requests during which upstreams broke off, again and again.
//!
//! A request that crashes its upstream comes again from its caller, with the same content, at any
//! entry. Every entry notes the content of a request whose upstream broke the connection off, and the
//! entries tell each other. The third break of the same content is no accident: requests that merely
//! ran beside it differ from crash to crash.

use std::collections::HashMap;
use std::time::Duration;

/// Breaks after which a content is refused. With two, requests that ran beside a crash and were sent
/// to an upstream that crashed as well would be refused.
const REFUSED_FROM: u32 = 3;

/// How long a break counts. Callers that repeat do so within seconds; an upstream needs some seconds
/// to come back.
const MEMORY: Duration = Duration::from_secs(60);

/// Most contents that are remembered: a crash of a large engine adds a hundred.
const MAX_CONTENTS: usize = 10_000;

#[derive(Debug, Clone, Copy)]
struct Breaks {
    count: u32,
    last: Duration,
}

/// Contents of requests during which an upstream broke off.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::retry::BrokenRequests;
/// let mut broken = BrokenRequests::default();
/// let now = Duration::from_secs(1);
/// broken.note(now, 7);
/// broken.note(now, 7);
/// assert!(!broken.is_refused(now, 7));
/// broken.note(now, 7);
/// assert!(broken.is_refused(now, 7));
/// ```
#[derive(Debug, Clone, Default)]
pub struct BrokenRequests {
    by_content: HashMap<u64, Breaks>,
    unreported: Vec<u64>,
}

impl BrokenRequests {
    /// An upstream broke off while it ran a request with the content.
    pub fn note_own(&mut self, now: Duration, content: u64) {
        self.unreported.push(content);
        self.note(now, content);
    }

    /// The same at another entry.
    pub fn note(&mut self, now: Duration, content: u64) {
        if self.by_content.len() >= MAX_CONTENTS {
            self.by_content
                .retain(|_, b| now.saturating_sub(b.last) < MEMORY);
        }
        if self.by_content.len() >= MAX_CONTENTS && !self.by_content.contains_key(&content) {
            return;
        }
        let fresh = Breaks {
            count: 0,
            last: now,
        };
        let breaks = self.by_content.entry(content).or_insert(fresh);
        if now.saturating_sub(breaks.last) >= MEMORY {
            breaks.count = 0;
        }
        breaks.count += 1;
        breaks.last = now;
    }

    /// Whether requests with the content are refused.
    #[must_use]
    pub fn is_refused(&self, now: Duration, content: u64) -> bool {
        let breaks = self.by_content.get(&content);
        breaks.is_some_and(|b| b.count >= REFUSED_FROM && now.saturating_sub(b.last) < MEMORY)
    }

    /// Contents noted here since the last report.
    pub fn report(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.unreported)
    }
}
