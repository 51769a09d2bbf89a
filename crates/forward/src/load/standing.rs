//! Whether an upstream is to be trusted with work, by how its last requests ended.
//!
//! **Pattern of load.** An upstream crashes, goes silent, or fails part of its requests while it says
//! that it is well. A crashed one answers at once with a refused connection, so without a safeguard
//! it looks like the fastest of all and draws the traffic of the whole fleet.

use std::time::Duration;

use super::speed::fade;

/// First time without work after a connection that could not be had. Upstreams come back after some
/// seconds; a try each half second by each entry costs one connection.
const FIRST_REST: Duration = Duration::from_millis(400);
/// Longest time without work: an upstream that is back is used again within it.
const MAX_REST: Duration = Duration::from_millis(3_200);
/// Time in which failures lose about two thirds of their weight.
const MEMORY: Duration = Duration::from_secs(3);
/// Successes that count as observed before any: one failure alone makes a rate of a sixth.
const PRIOR_SUCCESSES: f64 = 5.0;

/// How the last requests of an upstream ended.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::Standing;
/// let mut standing = Standing::default();
/// standing.on_unreachable(Duration::ZERO);
/// assert!(!standing.takes_work(Duration::from_millis(100)));
/// assert!(standing.takes_work(Duration::from_millis(400)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Standing {
    rests_until: Duration,
    unreachable: u32,
    failed: f64,
    succeeded: f64,
    at: Duration,
}

impl Standing {
    /// No connection could be had, or an answer never began.
    pub fn on_unreachable(&mut self, now: Duration) {
        let rest = FIRST_REST * 2_u32.saturating_pow(self.unreachable.min(8));
        self.unreachable += 1;
        self.rests_until = self.rests_until.max(now + rest.min(MAX_REST));
    }

    /// Takes in how requests ended, here or at other entries.
    pub fn on_ended(&mut self, now: Duration, failed: u32, succeeded: u32) {
        let left = fade(now.saturating_sub(self.at), MEMORY);
        self.failed = self.failed * left + f64::from(failed);
        self.succeeded = self.succeeded * left + f64::from(succeeded);
        self.at = self.at.max(now);
        if succeeded > 0 {
            self.unreachable = 0;
        }
    }

    /// Share of requests that failed lately, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let left = fade(now.saturating_sub(self.at), MEMORY);
        let failed = self.failed * left;
        failed / (failed + self.succeeded * left + PRIOR_SUCCESSES)
    }

    /// Whether it is given work now.
    #[must_use]
    pub fn takes_work(&self, now: Duration) -> bool {
        now >= self.rests_until
    }
}
