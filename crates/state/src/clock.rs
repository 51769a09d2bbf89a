//! Log time: the clock of the replicated state, advanced by the stamps of leaders.
//!
//! Each leader starts from the time that the log has reached and adds the time elapsed on its own
//! monotonic clock. Log time never runs ahead of real time (within the drift bound) and stops while
//! there is no leader, so leases and records expire too late rather than too early.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Log time: milliseconds elapsed under a leader since the start of the log.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
pub struct LogTime(pub u64);

impl LogTime {
    /// This time plus `wait`, saturating.
    #[must_use]
    pub fn after(self, wait: Duration) -> Self {
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// This time minus `wait`, or the start of the log.
    #[must_use]
    pub fn before(self, wait: Duration) -> Self {
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(millis))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than this time.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Stamps commands while this host is the leader.
///
/// Create one after each election, once the first entry of the new term is applied. Starting from
/// an older state is safe: stamps are then too low, and log time pauses until they catch up.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_state::{LeaderClock, LogTime};
/// let clock = LeaderClock::start(LogTime(5_000), Duration::from_secs(100));
/// assert_eq!(clock.stamp(Duration::from_secs(102)), LogTime(7_000));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct LeaderClock {
    base: LogTime,
    since: Duration,
}

impl LeaderClock {
    /// Starts from log time `applied` of the local state machine, at local time `now`.
    #[must_use]
    pub fn start(applied: LogTime, now: Duration) -> Self {
        Self {
            base: applied,
            since: now,
        }
    }

    /// The log time at local time `now`.
    #[must_use]
    pub fn stamp(&self, now: Duration) -> LogTime {
        self.base.after(now.saturating_sub(self.since))
    }
}
