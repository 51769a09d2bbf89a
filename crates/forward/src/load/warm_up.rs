//! Limit on the requests to an upstream that warms up after its start.
//!
//! A cold upstream has the shortest queue of all, so every entry prefers it, and together they send
//! it many times what it can take; it crashes. Entries do not ask each other before each request.
//! Instead each one sends at fixed intervals, which are the longer the more entries there are, and
//! starts at a time of its own within the first interval.

use std::time::Duration;

/// Share of the stated rate that all entries together use. Their requests are not evenly spaced,
/// and the number of entries is known with a delay.
const USED_SHARE: f64 = 0.6;

/// Longest interval, far longer than a warm-up. It can be added to a clock, whatever rate is stated.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);

/// Interval at which each of `entries` entries may send to an upstream that takes `per_s` requests
/// per second while it warms up. None without a stated rate, which means no limit.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::warm_up_interval;
/// assert_eq!(warm_up_interval(10.0, 12), Some(Duration::from_secs(2)));
/// assert_eq!(warm_up_interval(0.0, 12), None);
/// ```
#[must_use]
pub fn warm_up_interval(per_s: f64, entries: u32) -> Option<Duration> {
    if per_s <= 0.0 {
        return None;
    }
    let seconds = f64::from(entries.max(1)) / (per_s * USED_SHARE);
    Some(Duration::from_secs_f64(
        seconds.min(MAX_INTERVAL.as_secs_f64()),
    ))
}

/// The warm-up of one upstream, as seen by one entry.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::WarmUp;
/// let at = Duration::from_millis;
/// let mut warm_up = WarmUp::default();
/// warm_up.announce(at(1_000), at(3_000), 0.5);
/// assert!(!warm_up.admits(at(1_400), Some(at(1_000))), "before its first turn");
/// assert!(warm_up.admits(at(1_500), Some(at(1_000))));
/// warm_up.on_sent(at(1_500));
/// assert!(!warm_up.admits(at(2_400), Some(at(1_000))));
/// assert!(warm_up.admits(at(4_000), Some(at(1_000))), "it is warm");
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmUp {
    since: Duration,
    until: Duration,
    /// Part of the interval after which this entry sends for the first time, from 0 to 1.
    phase: f64,
    last_sent: Option<Duration>,
}

impl WarmUp {
    /// Records that the upstream stays cold for another `remaining`. `phase`, from 0 to 1, differs
    /// between entries.
    pub fn announce(&mut self, now: Duration, remaining: Duration, phase: f64) {
        if remaining.is_zero() {
            return;
        }
        if now >= self.until {
            self.since = now;
            self.phase = phase;
            self.last_sent = None;
        }
        self.until = self.until.max(now.saturating_add(remaining));
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, now: Duration) {
        self.last_sent = Some(now);
    }

    /// Whether this entry may send a request now, at most one in each `interval`.
    #[must_use]
    pub fn admits(&self, now: Duration, interval: Option<Duration>) -> bool {
        let Some(interval) = interval.filter(|_| now < self.until) else {
            return true;
        };
        let due = match self.last_sent {
            Some(at) => at + interval,
            None => self.since + interval.mul_f64(self.phase),
        };
        now >= due
    }
}
