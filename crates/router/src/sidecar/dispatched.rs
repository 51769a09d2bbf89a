//! Which attempts that may not be repeated were dispatched, and which never will be.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use coltsfootnotch_types::Incarnation;
use coltsfootnotch_wire::AttemptId;

use super::PULL_TIMEOUT;

/// How many dispatched attempts are remembered: about 10 MB, some hours of bookings at 10 a second.
const REMEMBERED: usize = 131_072;
/// How long a disowned attempt is remembered. Its slot was reserved before its intent was written,
/// so no opening of it can be valid once every reservation of that time has ended.
const DISOWNED_FOR: Duration = PULL_TIMEOUT.saturating_mul(4);

/// What this sidecar run has dispatched of the calls that may not be repeated.
#[derive(Debug, Default)]
pub struct Dispatched {
    order: VecDeque<AttemptId>,
    known: HashSet<AttemptId>,
    /// Highest request number forgotten, by entry run; below it nothing can be disowned.
    forgotten: HashMap<Incarnation, u64>,
    disowned: VecDeque<(Duration, AttemptId)>,
}

impl Dispatched {
    /// Notes a dispatch; whether it may go ahead.
    pub fn dispatch(&mut self, attempt: AttemptId) -> bool {
        if self
            .disowned
            .iter()
            .any(|(_, disowned)| *disowned == attempt)
        {
            return false;
        }
        if !self.known.insert(attempt) {
            return false;
        }
        self.order.push_back(attempt);
        if self.order.len() > REMEMBERED {
            self.forget_oldest();
        }
        true
    }

    /// Whether the attempt was never dispatched; if so it never will be.
    pub fn disown(&mut self, now: Duration, attempt: AttemptId) -> bool {
        let forgotten = self.forgotten.get(&attempt.entry);
        let may_be_forgotten = forgotten.is_some_and(|highest| attempt.request <= *highest);
        if may_be_forgotten || self.known.contains(&attempt) {
            return false;
        }
        self.disowned.push_back((now + DISOWNED_FOR, attempt));
        true
    }

    /// Forgets disowned attempts that nothing can open any more.
    pub fn tick(&mut self, now: Duration) {
        while self
            .disowned
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.disowned.pop_front();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        self.known.remove(&oldest);
        let highest = self.forgotten.entry(oldest.entry).or_default();
        *highest = oldest.request.max(*highest);
    }
}
