//! Retry budget that all entries together keep without coordination.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Share of the operator's limit that is used, since requests are spread unevenly and the number of
/// entries is known with a delay.
const USED_SHARE: f64 = 0.7;

/// Length of the buckets of a window.
const BUCKET: Duration = Duration::from_millis(500);

/// The operator's limit on retries, per service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries per request in a window.
    pub ratio: f64,
    /// Retries in a window regardless of requests, over all entries.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// Retry budget of this entry.
///
/// Each entry uses its share: the ratio of its own requests, and the slack divided by the number of
/// entries. The sum keeps the limit however requests are spread.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::retry::{RetryLimit, RetryBudget};
/// let limit = RetryLimit { ratio: 0.2, slack: 30.0, window: Duration::from_secs(10) };
/// let mut budget = RetryBudget::new(limit);
/// let now = Duration::from_secs(1);
/// assert!(!budget.try_acquire(now, "orders", None), "the number of entries is not known yet");
/// assert!(budget.try_acquire(now, "orders", Some(10)));
/// let more = (0..10).filter(|_| budget.try_acquire(now, "orders", Some(10))).count();
/// assert_eq!(more, 1, "a tenth of the slack, less the margin");
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limit: RetryLimit,
    by_service: HashMap<Arc<str>, VecDeque<(u64, Bucket)>>,
}

impl RetryBudget {
    /// An unused budget.
    #[must_use]
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            by_service: HashMap::new(),
        }
    }

    /// Records a request for the service.
    pub fn on_request(&mut self, now: Duration, service: &str) {
        self.bucket(now, service).requests += 1;
    }

    /// Takes one retry from the budget, if it has one; `entries` is the number of entries that
    /// share the limit. While it is not known, as after a loss of power, there is no slack: all entries
    /// start at once, and each would use all of it.
    pub fn try_acquire(&mut self, now: Duration, service: &str, entries: Option<u32>) -> bool {
        self.bucket(now, service);
        let buckets = &self.by_service[service];
        let requests: u32 = buckets.iter().map(|(_, p)| p.requests).sum();
        let retries: u32 = buckets.iter().map(|(_, p)| p.retries).sum();
        let slack = entries.map_or(0.0, |n| self.limit.slack / f64::from(n.max(1)));
        let allowed = (f64::from(requests) * self.limit.ratio + slack) * USED_SHARE;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.bucket(now, service).retries += 1;
        true
    }

    /// The current bucket, after removing those before the window.
    fn bucket(&mut self, now: Duration, service: &str) -> &mut Bucket {
        let number = (now.as_millis() / BUCKET.as_millis()) as u64;
        let retained = (self.limit.window.as_millis() / BUCKET.as_millis()) as u64 + 1;
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.into(), VecDeque::new());
        }
        let buckets = self.by_service.get_mut(service).expect("inserted above");
        while buckets
            .pop_front_if(|(n, _)| *n + retained <= number)
            .is_some()
        {}
        if buckets.back().is_none_or(|(n, _)| *n < number) {
            buckets.push_back((number, Bucket::default()));
        }
        &mut buckets.back_mut().expect("pushed above").1
    }
}
