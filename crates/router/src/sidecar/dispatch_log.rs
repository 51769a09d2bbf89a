//! Attempts of calls that may not be repeated: which were dispatched, and which never will be.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use coltsfootnotch_types::Incarnation;
use coltsfootnotch_wire::AttemptId;

use super::PULL_TIMEOUT;

/// Number of dispatched attempts that are kept: about 10 MB, or some hours at 10 calls a second.
const CAPACITY: usize = 131_072;
/// How long an abandoned attempt is kept. Its slot was reserved before its intent was written, so
/// the attempt can't start once every reservation of that time has expired.
const ABANDONED_RETENTION: Duration = PULL_TIMEOUT.saturating_mul(4);

/// Dispatched and abandoned attempts of one sidecar incarnation.
#[derive(Debug, Default)]
pub struct DispatchLog {
    order: VecDeque<AttemptId>,
    dispatched: HashSet<AttemptId>,
    /// Highest request number evicted, by entry incarnation; up to it nothing can be abandoned.
    evicted: HashMap<Incarnation, u64>,
    abandoned: VecDeque<(Duration, AttemptId)>,
}

impl DispatchLog {
    /// Records a dispatch. Returns false if the attempt was dispatched before or is abandoned.
    pub fn dispatch(&mut self, attempt: AttemptId) -> bool {
        if self
            .abandoned
            .iter()
            .any(|(_, abandoned)| *abandoned == attempt)
        {
            return false;
        }
        if !self.dispatched.insert(attempt) {
            return false;
        }
        self.order.push_back(attempt);
        if self.order.len() > CAPACITY {
            self.evict_oldest();
        }
        true
    }

    /// Abandons an attempt. Returns true if it was not dispatched; it never will be from then on.
    pub fn abandon(&mut self, now: Duration, attempt: AttemptId) -> bool {
        let evicted = self.evicted.get(&attempt.entry);
        let may_be_evicted = evicted.is_some_and(|highest| attempt.request <= *highest);
        if may_be_evicted || self.dispatched.contains(&attempt) {
            return false;
        }
        self.abandoned
            .push_back((now + ABANDONED_RETENTION, attempt));
        true
    }

    /// Removes abandoned attempts that can't be opened any more.
    pub fn tick(&mut self, now: Duration) {
        while self
            .abandoned
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.abandoned.pop_front();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        self.dispatched.remove(&oldest);
        let highest = self.evicted.entry(oldest.entry).or_default();
        *highest = oldest.request.max(*highest);
    }
}
