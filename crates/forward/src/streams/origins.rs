//! The origins of streams that began lately.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::BegunStreams;

use super::StreamOrigin;

/// Time for which an origin is kept at least, longer than callers wait for a stream.
const RETENTION: Duration = Duration::from_secs(30);

/// Most origins in each of two periods; bounds the memory to some 100 MB.
const MAX_STREAMS: usize = 1_000_000;

/// Origins of streams by the digest that identifies a stream to its caller. Entries keep those that they
/// began, control hosts those of all entries, so that the knowledge outlives an entry.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::streams::{StreamOrigin, StreamOrigins};
/// let mut origins = StreamOrigins::default();
/// origins.record(Duration::ZERO, 7, &StreamOrigin::new("spec", "v1"));
/// assert_eq!(&*origins.get(7).unwrap().version, "v1");
/// assert_eq!(origins.get(8), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    /// Each distinct origin once.
    interned: HashSet<Arc<StreamOrigin>>,
    current: HashMap<u64, Record>,
    previous: HashMap<u64, Record>,
    /// When the current period began.
    since: Duration,
}

/// Where a stream is.
#[derive(Debug, Clone)]
struct Record {
    origin: Arc<StreamOrigin>,
    /// Whether it was placed elsewhere before.
    has_moved: bool,
}

impl StreamOrigins {
    /// Records where a stream begins or goes on.
    pub fn record(&mut self, now: Duration, stream: u64, origin: &StreamOrigin) {
        self.insert(now, stream, origin, false);
    }

    /// Records that a stream was placed at another origin than before. Reports of the earlier one, which may arrive
    /// later by way of other hosts, don't count.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::streams::{StreamOrigin, StreamOrigins, group_streams};
    /// let (one, two) = (StreamOrigin::new("spec", "v1"), StreamOrigin::new("spec", "v2"));
    /// let mut origins = StreamOrigins::default();
    /// origins.record_move(Duration::ZERO, 7, &two);
    /// origins.record_report(Duration::ZERO, &group_streams([(7, one)]));
    /// assert_eq!(origins.get(7), Some(&two));
    /// ```
    pub fn record_move(&mut self, now: Duration, stream: u64, origin: &StreamOrigin) {
        self.insert(now, stream, origin, true);
    }

    fn insert(&mut self, now: Duration, stream: u64, origin: &StreamOrigin, has_moved: bool) {
        self.expire(now);
        if self.current.len() < MAX_STREAMS {
            let origin = self.intern(origin);
            self.current.insert(stream, Record { origin, has_moved });
        }
    }

    /// Records streams that another process reports.
    pub fn record_report(&mut self, now: Duration, begun: &[BegunStreams]) {
        for group in begun {
            let origin = StreamOrigin::from(group);
            for stream in &group.streams {
                if !self.has_moved(*stream) {
                    self.record(now, *stream, &origin);
                }
            }
        }
    }

    /// The origin of a stream, if it began lately.
    #[must_use]
    pub fn get(&self, stream: u64) -> Option<&StreamOrigin> {
        Some(&self.record_of(stream)?.origin)
    }

    /// Whether a stream is known to have been placed at another origin before.
    #[must_use]
    pub fn has_moved(&self, stream: u64) -> bool {
        self.record_of(stream)
            .is_some_and(|record| record.has_moved)
    }

    fn record_of(&self, stream: u64) -> Option<&Record> {
        let current = self.current.get(&stream);
        current.or_else(|| self.previous.get(&stream))
    }

    fn intern(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(interned) = self.interned.get(origin) {
            return Arc::clone(interned);
        }
        let interned = Arc::new(origin.clone());
        self.interned.insert(Arc::clone(&interned));
        interned
    }

    /// Starts a new period when the current one is over, and forgets the one before.
    fn expire(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.since);
        if elapsed < RETENTION {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if elapsed >= RETENTION * 2 {
            self.previous.clear();
        }
        self.since = now;
        let previous = &self.previous;
        let is_used =
            |origin: &Arc<StreamOrigin>| previous.values().any(|record| record.origin == *origin);
        self.interned.retain(is_used);
    }
}

/// Groups streams by origin for a report. A stream that is listed more than once has its last origin: it was placed
/// again, and went on there.
///
/// ```
/// use coltsfootnotch_forward::streams::{StreamOrigin, group_streams};
/// let (one, two) = (StreamOrigin::new("spec", "v1"), StreamOrigin::new("spec", "v2"));
/// let groups = group_streams([(7, one.clone()), (8, two), (9, one)]);
/// assert_eq!(groups[0].streams, [7, 9]);
/// ```
pub fn group_streams(streams: impl IntoIterator<Item = (u64, StreamOrigin)>) -> Vec<BegunStreams> {
    let last: BTreeMap<u64, StreamOrigin> = streams.into_iter().collect();
    let mut groups: BTreeMap<StreamOrigin, Vec<u64>> = BTreeMap::new();
    for (stream, origin) in last {
        groups.entry(origin).or_default().push(stream);
    }
    let groups = groups.into_iter();
    groups
        .map(|(origin, streams)| BegunStreams {
            service: origin.service.to_string(),
            version: origin.version.to_string(),
            streams,
        })
        .collect()
}
