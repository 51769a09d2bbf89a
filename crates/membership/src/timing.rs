//! How often hosts are heard, and when they count as silent.

use std::time::Duration;

/// Times of the detection of silence.
///
/// A host that is lost just after a heartbeat is found silent `silent_after` later, plus one call of
/// [`crate::Registry::tick`]: 2.5 s and 0.25 s with the defaults, within the 3 s that are required.
/// Five heartbeats fall into `silent_after`; with a tenth of them lost at random, a present host is
/// taken for silent about once in 15 hours (0.1 to the fifth, twice a second), and then damped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of a host.
    pub heartbeat: Duration,
    /// Silence after which the relay asks the host for a sign.
    pub suspect_after: Duration,
    /// Silence after which the host counts as gone.
    pub silent_after: Duration,
    /// Silence of a relay after which a host turns to another.
    pub relay_silent_after: Duration,
    /// How long a host stays with another relay before it looks for its own again; doubled each time
    /// it has to leave again, up to `max_failback_after`.
    pub failback_after: Duration,
    /// The longest such time.
    pub max_failback_after: Duration,
}

impl Timing {
    /// The times for hosts a few milliseconds apart.
    pub const DEFAULT: Self = Self {
        heartbeat: Duration::from_millis(500),
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

/// How long what is known of a host that is gone is kept, so that older news of it loses against it.
pub(crate) const KEEP_GONE: Duration = Duration::from_secs(20 * 60);
