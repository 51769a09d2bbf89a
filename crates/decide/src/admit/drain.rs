//! How fast the queue of one account drains.

use std::time::Duration;

/// Share of the newest interval in the running mean: an eighth, so that the mean follows a changed
/// rate within about eight starts and a burst of starts doesn't promise more than it can keep.
const NEWEST_SHARE: f64 = 1.0 / 8.0;

/// Mean time between two starts while work waits.
///
/// Only intervals in which something waited count: the time an idle account takes to send its next
/// request says nothing about the fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainMeter {
    mean: Option<Duration>,
    /// The last start, or the moment at which work began to wait if that is later.
    since: Option<Duration>,
}

impl DrainMeter {
    /// Notes that work waits, after none did.
    pub fn on_backlog(&mut self, now: Duration) {
        self.since = Some(now);
    }

    /// Notes that a request that waited was started; `more_waits` says whether others still wait.
    pub fn on_start(&mut self, now: Duration, more_waits: bool) {
        if let Some(since) = self.since {
            let interval = now.saturating_sub(since);
            self.mean = Some(match self.mean {
                Some(mean) => blend(mean, interval),
                None => interval,
            });
        }
        self.since = more_waits.then_some(now);
    }

    /// Notes that nothing waits any more, although nothing was started.
    pub fn on_empty(&mut self) {
        self.since = None;
    }

    /// How long a request with `ahead` others before it will wait; `None` before anything drained.
    ///
    /// A queue that has stood still for longer than the mean is believed to go on like that: the
    /// mean alone would promise the rate of before an outage all through it.
    #[must_use]
    pub fn expected_wait(&self, ahead: u32, now: Duration) -> Option<Duration> {
        let mean = self.mean?;
        let stalled = self.since.map(|since| now.saturating_sub(since));
        let interval = stalled.unwrap_or_default().max(mean);
        Some(interval.saturating_mul(ahead + 1))
    }
}

fn blend(mean: Duration, newest: Duration) -> Duration {
    mean.mul_f64(1.0 - NEWEST_SHARE) + newest.mul_f64(NEWEST_SHARE)
}
