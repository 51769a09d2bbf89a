//! Scheduling of weight loads within the rate of the weight store.
//!
//! When many engines need weights at once (a new version, a restart of a failure domain), loads
//! start one after another. If they all started at once, the store would throttle each, and no
//! engine would be ready before the last.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

/// Limits of the weight store, from the manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightStoreLimit {
    /// Bytes per second over all loads.
    pub bytes_per_sec: u64,
    /// Maximum number of concurrent loads.
    pub max_concurrent_loads: u32,
}

/// Schedules loads of weights.
///
/// Each load reserves the time in which the store delivers its bytes, and the next starts after
/// that. A new scheduler does not know the loads of its predecessor and first waits for `busy_for`.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_state::{WeightStoreLimit, WeightLoadScheduler};
/// use coltsfootnotch_types::UpstreamName;
/// let limit = WeightStoreLimit { bytes_per_sec: 1_000, max_concurrent_loads: 2 };
/// let sec = Duration::from_secs;
/// let mut scheduler = WeightLoadScheduler::new(limit, sec(0), sec(0));
/// let (a, b) = (UpstreamName::new("engine-a")?, UpstreamName::new("engine-b")?);
/// assert!(scheduler.try_start(&a, 5_000, sec(0)));
/// assert!(!scheduler.try_start(&b, 5_000, sec(4)), "the first load takes the rate");
/// assert!(scheduler.try_start(&b, 5_000, sec(5)));
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct WeightLoadScheduler {
    limit: WeightStoreLimit,
    running: BTreeMap<UpstreamName, Duration>,
    free_at: Duration,
}

impl WeightLoadScheduler {
    /// Creates a scheduler for a store that may be busy for `busy_for` with loads of a predecessor.
    #[must_use]
    pub fn new(limit: WeightStoreLimit, now: Duration, busy_for: Duration) -> Self {
        Self {
            limit,
            running: BTreeMap::new(),
            free_at: now + busy_for,
        }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: WeightStoreLimit) {
        self.limit = limit;
    }

    /// Starts a load of `bytes` for `upstream` if the limit allows it at `now`; returns whether it
    /// did.
    pub fn try_start(&mut self, upstream: &UpstreamName, bytes: u64, now: Duration) -> bool {
        let is_saturated = self.running.len() >= self.limit.max_concurrent_loads as usize;
        if is_saturated || now < self.free_at || self.running.contains_key(upstream) {
            return false;
        }
        let millis = u128::from(bytes) * 1_000 / u128::from(self.limit.bytes_per_sec.max(1));
        let load_time = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
        self.free_at = now.saturating_add(load_time);
        self.running.insert(upstream.clone(), now);
        true
    }

    /// Records that the load for `upstream` succeeded or failed.
    pub fn on_finished(&mut self, upstream: &UpstreamName) {
        self.running.remove(upstream);
    }

    /// Number of running loads.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }
}
