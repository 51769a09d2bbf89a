//! Requests and retries by service and time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{RetryBucket, ServiceRetries};

/// Length of the buckets of a window.
const BUCKET: Duration = Duration::from_millis(500);

/// Added to all times: a process's clock starts with it, and what earlier processes counted is older.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);

/// Requests and retries of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct RetrySum {
    pub(super) requests: u32,
    pub(super) retries: u32,
}

impl RetrySum {
    pub(super) fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.retries = self.retries.saturating_add(other.retries);
    }
}

/// Requests and retries of the last window, by service and in short buckets.
#[derive(Debug, Clone)]
pub(super) struct RetryCounts {
    retained: u64,
    by_service: HashMap<Arc<str>, BTreeMap<u64, RetrySum>>,
}

impl RetryCounts {
    /// Counts for `window`, and at most a bucket longer.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            retained: bucket_count(window) + 1,
            by_service: HashMap::new(),
        }
    }

    /// Adds to the bucket of `at`.
    pub(super) fn add(&mut self, at: Duration, service: &str, added: RetrySum) {
        self.add_to(bucket_number(at), service, added);
    }

    fn add_to(&mut self, number: u64, service: &str, added: RetrySum) {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.into(), BTreeMap::new());
        }
        let buckets = self.by_service.get_mut(service).expect("inserted above");
        buckets.entry(number).or_default().add(added);
    }

    /// Adds what another host reported.
    pub(super) fn add_report(&mut self, now: Duration, services: &[ServiceRetries]) {
        for used in services {
            for bucket in &used.buckets {
                let age = Duration::from_millis(bucket.age_ms.into());
                if bucket_count(age) >= self.retained {
                    continue;
                }
                let added = RetrySum {
                    requests: bucket.requests,
                    retries: bucket.retries,
                };
                let at = (now + CLOCK_OFFSET).saturating_sub(age);
                self.add_to(bucket_count(at), &used.service, added);
            }
        }
        self.expire(now);
    }

    /// The sums of the window that ends now.
    pub(super) fn sum(&mut self, now: Duration, service: &str) -> RetrySum {
        let mut sum = RetrySum::default();
        if let Some(buckets) = self.by_service.get_mut(service) {
            expire(buckets, now, self.retained);
            buckets.values().for_each(|bucket| sum.add(*bucket));
        }
        sum
    }

    /// The sums of the window that ends now, of all services.
    pub(super) fn total(&self) -> RetrySum {
        let mut sum = RetrySum::default();
        let buckets = self.by_service.values().flat_map(BTreeMap::values);
        buckets.for_each(|bucket| sum.add(*bucket));
        sum
    }

    /// Removes what is older than the window.
    pub(super) fn expire(&mut self, now: Duration) {
        let retained = self.retained;
        self.by_service.retain(|_, buckets| {
            expire(buckets, now, retained);
            !buckets.is_empty()
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// All counts, with the age of the youngest that a bucket may have.
    pub(super) fn report(&self, now: Duration) -> Vec<ServiceRetries> {
        let services = self.by_service.iter();
        let services = services.map(|(service, buckets)| ServiceRetries {
            service: service.to_string(),
            buckets: buckets
                .iter()
                .map(|(number, sum)| bucket(now, *number, *sum))
                .collect(),
        });
        services.collect()
    }
}

fn bucket(now: Duration, number: u64, sum: RetrySum) -> RetryBucket {
    let end_ms = (u128::from(number) + 1) * BUCKET.as_millis();
    let age_ms = (now + CLOCK_OFFSET).as_millis().saturating_sub(end_ms);
    RetryBucket {
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        requests: sum.requests,
        retries: sum.retries,
    }
}

fn bucket_number(at: Duration) -> u64 {
    bucket_count(at + CLOCK_OFFSET)
}

fn bucket_count(time: Duration) -> u64 {
    (time.as_millis() / BUCKET.as_millis()) as u64
}

fn expire(buckets: &mut BTreeMap<u64, RetrySum>, now: Duration, retained: u64) {
    let number = bucket_number(now);
    while let Some(first) = buckets.first_entry() {
        if *first.key() + retained > number {
            return;
        }
        first.remove();
    }
}
