//! Intervals and timeouts of failure detection.

use std::time::Duration;

/// Intervals and timeouts of failure detection.
///
/// A host that is lost just after a heartbeat is declared silent after `silent_after` and one
/// interval of [`crate::Registry::tick`]: 2.5 s and 0.25 s by default, within the required 3 s.
/// Five heartbeats fall into `silent_after`; at 10 % random loss a present host is declared silent
/// about once in 15 hours (0.1 to the fifth, twice a second).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two heartbeats of a host.
    pub heartbeat_interval: Duration,
    /// Silence after which the relay suspects a host.
    pub suspect_after: Duration,
    /// Silence after which the host is listed as gone.
    pub silent_after: Duration,
    /// Silence of a relay after which a host connects to another.
    pub relay_silent_after: Duration,
    /// Time that a host stays with another relay before it probes its preferred one; doubled after
    /// each short stay there, up to `max_failback_after`.
    pub failback_after: Duration,
    /// Upper limit of that time.
    pub max_failback_after: Duration,
}

impl Timing {
    /// Defaults for hosts with a few milliseconds of latency between them.
    pub const DEFAULT: Self = Self {
        heartbeat_interval: Duration::from_millis(500),
        suspect_after: Duration::from_millis(1_500),
        silent_after: Duration::from_millis(2_500),
        relay_silent_after: Duration::from_millis(2_000),
        failback_after: Duration::from_secs(10),
        max_failback_after: Duration::from_secs(300),
    };
}

impl Default for Timing {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// How long the record of a host that is gone is kept, so that late reports cannot bring it back.
pub(crate) const TOMBSTONE_RETENTION: Duration = Duration::from_secs(20 * 60);
