//! Estimate of the prompt segments in an engine's prefix cache.
//!
//! An engine skips the prefill of a segment that is cached along with all segments before it. The
//! estimate is a least-recently-used cache of the segments sent to the engine, as large as its
//! memory. Only segments shared by requests are recorded; the last one of a prompt is unique.

use std::collections::HashMap;
use std::time::Duration;

/// A segment of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifier of its text.
    pub id: u64,
    /// Its size in tokens.
    pub tokens: u32,
}

/// A cached segment.
#[derive(Debug, Clone, Copy)]
struct CachedSegment {
    tokens: u32,
    last_used: Duration,
}

/// The shared segments that one engine has cached.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::{CachedSegments, PromptSegment};
/// let (a, b) = (PromptSegment { id: 1, tokens: 100 }, PromptSegment { id: 2, tokens: 300 });
/// let mut cached = CachedSegments::default();
/// cached.record(Duration::ZERO, b, 1_000);
/// assert_eq!(cached.cached_prefix_tokens(&[a, b]), 0, "the segment before it is not cached");
/// cached.record(Duration::ZERO, a, 1_000);
/// assert_eq!(cached.cached_prefix_tokens(&[a, b]), 400);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CachedSegments {
    segments: HashMap<u64, CachedSegment>,
    tokens: u64,
}

impl CachedSegments {
    /// Records that a segment was sent, and evicts the least recently used ones beyond `capacity`
    /// tokens. Returns whether the segment was not cached before.
    pub fn record(&mut self, now: Duration, segment: PromptSegment, capacity: u64) -> bool {
        let cached = CachedSegment {
            tokens: segment.tokens,
            last_used: now,
        };
        let previous = self.segments.insert(segment.id, cached);
        self.tokens += u64::from(segment.tokens);
        self.tokens -= previous.map_or(0, |e| u64::from(e.tokens));
        while self.tokens > capacity && self.segments.len() > 1 {
            self.evict_oldest();
        }
        previous.is_none()
    }

    /// Tokens of the leading `segments` that are cached.
    #[must_use]
    pub fn cached_prefix_tokens(&self, segments: &[PromptSegment]) -> u64 {
        let cached = segments
            .iter()
            .take_while(|p| self.segments.contains_key(&p.id));
        cached.map(|p| u64::from(p.tokens)).sum()
    }

    /// Whether the segment is cached.
    #[must_use]
    pub fn contains(&self, id: u64) -> bool {
        self.segments.contains_key(&id)
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .segments
            .iter()
            .min_by_key(|(id, cached)| (cached.last_used, **id));
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return;
        };
        let evicted = self.segments.remove(&id);
        self.tokens -= evicted.map_or(0, |g| u64::from(g.tokens));
    }
}
