//! The limit of the weight store.
//!
//! Load pattern answered: many engines want weights at the same time (a new version, a restart of a
//! failure domain). Without a limit of our own the store throttles everybody and all loads end late
//! together. Loads are started one after another instead, as the store's rate allows.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

/// What the weight store gives, from the manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLimit {
    /// Bytes a second over all loads.
    pub bytes_per_sec: u64,
    /// Loads that run at once.
    pub loads_at_once: u32,
}

/// Which loads run, and when the next may start.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_state::{StoreLimit, WeightStore};
/// use coltsfootnotch_types::UpstreamName;
/// let limit = StoreLimit { bytes_per_sec: 1_000, loads_at_once: 2 };
/// let sec = Duration::from_secs;
/// let mut store = WeightStore::new(limit, sec(0), sec(0));
/// let (a, b) = (UpstreamName::new("engine-a")?, UpstreamName::new("engine-b")?);
/// assert!(store.try_start(&a, 5_000, sec(0)));
/// assert!(!store.try_start(&b, 5_000, sec(4)), "the store still delivers to the first");
/// assert!(store.try_start(&b, 5_000, sec(5)));
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
///
/// A load takes its bytes from the future: the next one starts when the store could have delivered
/// all those before. A process that has just taken over starts without credit and, since it does not
/// know what its predecessor had in flight, waits for the time that the caller states as `busy_for`.
#[derive(Debug, Clone)]
pub struct WeightStore {
    limit: StoreLimit,
    running: BTreeMap<UpstreamName, Duration>,
    free_at: Duration,
}

impl WeightStore {
    /// A store that may be busy with a predecessor's loads for `busy_for` from `now`.
    #[must_use]
    pub fn new(limit: StoreLimit, now: Duration, busy_for: Duration) -> Self {
        Self {
            limit,
            running: BTreeMap::new(),
            free_at: now + busy_for,
        }
    }

    /// Changes the limit with the manifest.
    pub fn set_limit(&mut self, limit: StoreLimit) {
        self.limit = limit;
    }

    /// Starts a load of `bytes` for `upstream` if the store has room at `now`.
    pub fn try_start(&mut self, upstream: &UpstreamName, bytes: u64, now: Duration) -> bool {
        let is_full = self.running.len() >= self.limit.loads_at_once as usize;
        if is_full || now < self.free_at || self.running.contains_key(upstream) {
            return false;
        }
        let millis = u128::from(bytes) * 1_000 / u128::from(self.limit.bytes_per_sec.max(1));
        let takes = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
        self.free_at = now.saturating_add(takes);
        self.running.insert(upstream.clone(), now);
        true
    }

    /// Notes that the load for `upstream` has ended, well or not.
    pub fn end(&mut self, upstream: &UpstreamName) {
        self.running.remove(upstream);
    }

    /// Loads that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }
}
