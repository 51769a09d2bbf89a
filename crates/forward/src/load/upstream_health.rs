//! Health of an upstream, from the outcomes of its recent requests.
//!
//! An upstream may crash, hang, or fail some requests while it announces that it is ready. A
//! crashed one refuses connections at once, so without this check it looks like the fastest and
//! draws the traffic of the whole fleet.

use std::time::Duration;

use super::slowdown::decay;

/// First backoff after a failed connection. Upstreams come back after some seconds; a try costs each
/// entry one connection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Longest backoff: a recovered upstream is used again within it.
const MAX_BACKOFF: Duration = Duration::from_millis(3_200);
/// Decay time of outcomes.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Time after which an upstream counts as hung if nothing has come from it: longer than a sound one is silent.
const HANG_TIMEOUT: Duration = Duration::from_secs(3);
/// Successes that count as observed before any: one failure alone makes a rate of a sixth.
const PRIOR_SUCCESSES: f64 = 5.0;

/// Outcomes of the recent requests of an upstream.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::UpstreamHealth;
/// let mut health = UpstreamHealth::default();
/// health.on_unreachable(Duration::ZERO);
/// assert!(!health.is_available(Duration::from_millis(100)));
/// assert!(health.is_available(Duration::from_millis(400)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamHealth {
    backoff_until: Duration,
    unreachable_count: u32,
    silent_since: Option<Duration>,
    silent_until: Duration,
    silent_count: u32,
    failed: f64,
    succeeded: f64,
    updated_at: Duration,
}

impl UpstreamHealth {
    /// Records a failed connection.
    pub fn on_unreachable(&mut self, now: Duration) {
        let until = now + backoff(self.unreachable_count);
        self.unreachable_count += 1;
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Records that nothing came from the upstream for long on an open connection. It gets no requests for a time
    /// while there are others, and none at all once it has been silent for longer than a sound one is.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::load::UpstreamHealth;
    /// let mut health = UpstreamHealth::default();
    /// health.on_silent(Duration::ZERO);
    /// assert!(health.is_silent(Duration::from_millis(100)));
    /// assert!(health.is_available(Duration::from_millis(100)));
    /// health.on_progress();
    /// assert!(!health.is_silent(Duration::from_millis(100)));
    /// ```
    pub fn on_silent(&mut self, now: Duration) {
        if now >= self.silent_until + MAX_BACKOFF {
            self.on_progress();
        }
        let since = *self.silent_since.get_or_insert(now);
        self.silent_until = self.silent_until.max(now + backoff(self.silent_count));
        self.silent_count += 1;
        if now >= since + HANG_TIMEOUT {
            self.backoff_until = self.backoff_until.max(self.silent_until);
        }
    }

    /// Records that something came from the upstream.
    pub fn on_progress(&mut self) {
        self.silent_since = None;
        self.silent_until = Duration::ZERO;
        self.silent_count = 0;
    }

    /// Records outcomes of requests of this entry or of others.
    pub fn on_ended(&mut self, now: Duration, failed: u32, succeeded: u32) {
        let remaining = decay(now.saturating_sub(self.updated_at), DECAY_TIME);
        self.failed = self.failed * remaining + f64::from(failed);
        self.succeeded = self.succeeded * remaining + f64::from(succeeded);
        self.updated_at = self.updated_at.max(now);
        if succeeded > 0 {
            self.unreachable_count = 0;
        }
    }

    /// Share of recent requests that failed, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let remaining = decay(now.saturating_sub(self.updated_at), DECAY_TIME);
        let failed = self.failed * remaining;
        failed / (failed + self.succeeded * remaining + PRIOR_SUCCESSES)
    }

    /// Whether requests may be sent to it.
    #[must_use]
    pub fn is_available(&self, now: Duration) -> bool {
        now >= self.backoff_until
    }

    /// Whether nothing came from it lately; requests are sent to others while there are any.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        now < self.silent_until
    }
}

/// Backoff after this many earlier failures.
fn backoff(count: u32) -> Duration {
    (INITIAL_BACKOFF * 2_u32.saturating_pow(count.min(8))).min(MAX_BACKOFF)
}
