//! The prefix cache of a fake engine and its events, which are published with delay and loss.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use coltsfootnotch_wire::announce::{CacheEvent, CacheOp, MAX_CACHE_EVENTS};
use rand::Rng;

/// A least-recently-used cache of prefixes, least recent first.
pub(crate) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<String>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_seq: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    /// Marks `prefix` as used, adding it if absent; returns whether it was cached.
    pub(crate) fn touch(&mut self, prefix: &str) -> bool {
        if self.capacity == 0 {
            return false;
        }
        let index = self.prefixes.iter().position(|cached| cached == prefix);
        if let Some(index) = index {
            self.prefixes.remove(index);
        } else {
            self.record_event(prefix, CacheOp::Add);
        }
        self.prefixes.push_back(prefix.to_owned());
        if self.prefixes.len() > self.capacity
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.record_event(&evicted, CacheOp::Evict);
        }
        index.is_some()
    }

    /// Clears the cache without publishing events, as a crash does.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
    }

    /// Removes and returns the events at least `lag` old; each is lost with probability `loss`.
    pub(crate) fn publish(
        &mut self,
        lag: Duration,
        loss: f64,
        rng: &mut impl Rng,
    ) -> Vec<CacheEvent> {
        let mut published = Vec::new();
        while let Some((at, _)) = self.events.front()
            && at.elapsed() >= lag
            && published.len() < MAX_CACHE_EVENTS
        {
            let Some((_, event)) = self.events.pop_front() else {
                break;
            };
            if !rng.random_bool(loss) {
                published.push(event);
            }
        }
        published
    }

    fn record_event(&mut self, prefix: &str, op: CacheOp) {
        let event = CacheEvent {
            seq: self.next_seq,
            prefix: prefix.to_owned(),
            op,
        };
        self.next_seq += 1;
        if self.events.len() == MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now(), event));
    }
}
