//! Requests per subject, estimated for the whole fleet from those at this entry.
//!
//! A subject that many callers ask about at once needs more engines than others. No entry sees all
//! of its requests, but each sees enough of them to tell, and all arrive at about the same number.

use std::collections::HashMap;
use std::time::Duration;

use super::decay;

/// Decay time of requests.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Requests at this entry below which no estimate is made. Subjects are asked about so rarely that
/// one or two requests say nothing about the fleet.
const MIN_REQUESTS: f64 = 3.0;

/// Most subjects recorded; those with the fewest requests make room.
const MAX_SUBJECTS: usize = 4_096;

#[derive(Debug, Clone, Copy, Default)]
struct Requests {
    count: f64,
    updated_at: Duration,
}

impl Requests {
    fn count(&self, now: Duration) -> f64 {
        self.count * decay(now.saturating_sub(self.updated_at), DECAY_TIME)
    }
}

/// Recent requests at this entry, by subject.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::SubjectDemand;
/// let mut demand = SubjectDemand::default();
/// let now = Duration::from_secs(1);
/// demand.record(now, 7);
/// assert_eq!(demand.per_s(now, 7, 0.5), 0.0, "a single request says nothing");
/// (0..9).for_each(|_| demand.record(now, 7));
/// assert_eq!(demand.per_s(now, 7, 0.5), 10.0, "ten within two seconds at half of the fleet");
/// ```
#[derive(Debug, Clone, Default)]
pub struct SubjectDemand {
    by_subject: HashMap<u64, Requests>,
}

impl SubjectDemand {
    /// Records a request.
    pub fn record(&mut self, now: Duration, subject: u64) {
        if self.by_subject.len() >= MAX_SUBJECTS {
            self.by_subject.retain(|_, r| r.count(now) >= 1.0);
        }
        if self.by_subject.len() >= MAX_SUBJECTS && !self.by_subject.contains_key(&subject) {
            return;
        }
        let requests = self.by_subject.entry(subject).or_default();
        *requests = Requests {
            count: requests.count(now) + 1.0,
            updated_at: now,
        };
    }

    /// Requests per second at all entries, of which this one gets `local_share`. Zero while too few
    /// came here to tell.
    #[must_use]
    pub fn per_s(&self, now: Duration, subject: u64, local_share: f64) -> f64 {
        let count = self.by_subject.get(&subject).map_or(0.0, |r| r.count(now));
        if count < MIN_REQUESTS || local_share <= 0.0 {
            return 0.0;
        }
        count / DECAY_TIME.as_secs_f64() / local_share
    }
}
