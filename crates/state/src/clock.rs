//! Time in the replicated state: what leaders have measured, never a clock of a host.
//!
//! Each leader starts from the time that the log has reached and adds what its own monotonic clock
//! measures from then on. Log time therefore never runs ahead of the time that has really passed
//! (within the drift bound); it stands still while there is no leader. Everything that waits for log
//! time waits too long rather than too short, which is the safe side for leases and records alike.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Milliseconds that leaders of the control group have measured since the log began.
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
    /// The time `wait` later; saturates instead of wrapping.
    #[must_use]
    pub fn after(self, wait: Duration) -> Self {
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// The time `wait` earlier, or the beginning of the log.
    #[must_use]
    pub fn before(self, wait: Duration) -> Self {
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(millis))
    }

    /// How long ago `earlier` was; zero when it lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Stamps commands while this host leads.
///
/// Start it anew at each election, once the first entry of the new term is applied. Starting from an
/// older state is safe: the stamps are then too small, and log time merely stands still for a while.
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
    /// Starts from the log time `applied` of this host's state machine, at its own time `now`.
    #[must_use]
    pub fn start(applied: LogTime, now: Duration) -> Self {
        Self {
            base: applied,
            since: now,
        }
    }

    /// The log time at this host's time `now`.
    #[must_use]
    pub fn stamp(&self, now: Duration) -> LogTime {
        self.base.after(now.saturating_sub(self.since))
    }
}
