//! Drain rate of the queue of one account.

use std::time::Duration;

/// Weight of the newest sample in the moving average, which follows a changed rate within about eight
/// starts, while a burst of starts does not promise more than it can keep.
const SMOOTHING: f64 = 1.0 / 8.0;

/// Moving average of the time between two starts while requests wait.
///
/// Idle intervals are left out, since they depend on the caller and not on the fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainMeter {
    mean: Option<Duration>,
    /// The last start, or the start of the backlog if that is later; `None` without a backlog.
    since: Option<Duration>,
}

impl DrainMeter {
    /// Records the first request of a new backlog.
    pub fn on_backlog(&mut self, now: Duration) {
        self.since = Some(now);
    }

    /// Records the start of a waiting request; `more_waiting` says whether others still wait.
    pub fn on_start(&mut self, now: Duration, more_waiting: bool) {
        if let Some(since) = self.since {
            let interval = now.saturating_sub(since);
            self.mean = Some(match self.mean {
                Some(mean) => blend(mean, interval),
                None => interval,
            });
        }
        self.since = more_waiting.then_some(now);
    }

    /// Records that the backlog ended without a start.
    pub fn on_empty(&mut self) {
        self.since = None;
    }

    /// Expected wait of a request behind `ahead` others; `None` before the first start.
    ///
    /// Uses the time since the last start if that exceeds the mean, so that the rate before an
    /// outage is not assumed during it.
    #[must_use]
    pub fn expected_wait(&self, ahead: u32, now: Duration) -> Option<Duration> {
        let mean = self.mean?;
        let stalled = self.since.map(|since| now.saturating_sub(since));
        let interval = stalled.unwrap_or_default().max(mean);
        Some(interval.saturating_mul(ahead + 1))
    }
}

fn blend(mean: Duration, newest: Duration) -> Duration {
    mean.mul_f64(1.0 - SMOOTHING) + newest.mul_f64(SMOOTHING)
}
