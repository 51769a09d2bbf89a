//! Health of an upstream, as the share of its slots that may be used.

use std::time::Duration;

/// Time without a heartbeat after which an upstream is down and gets no new requests: two lost
/// heartbeats at one per second, and below the detection time of 3 s that users are promised.
const DOWN_AFTER: Duration = Duration::from_millis(2_800);

/// Time without a heartbeat after which the share falls, linearly to zero at [`DOWN_AFTER`].
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);

/// Time in which an upstream regains its whole share after an outage. New upstreams have no ramp,
/// since their concurrency window starts low.
const FIRST_RAMP: Duration = Duration::from_secs(10);

/// Longest ramp. Each outage soon after the previous one doubles the ramp, so that a flapping
/// upstream gets few requests.
const MAX_RAMP: Duration = Duration::from_secs(320);

/// Uptime, in ramps, after which the next outage does not double the ramp.
const STEADY_RAMPS: u32 = 4;

/// Weight of the newest sample in the moving averages of failures and latency.
const SMOOTHING: f64 = 0.1;

/// Latency ratio to the pool median from which an upstream loses share.
const SLOW_FROM: f64 = 1.5;

/// Minimum share of an upstream that is up, so that its recovery is noticed.
const MIN_SHARE: f64 = 0.05;

/// An event that changes the health of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthEvent {
    /// A heartbeat was received.
    Heartbeat,
    /// A run succeeded.
    Succeeded,
    /// A run failed because of the upstream.
    Failed,
    /// Ratio of its latency to the median of its pool.
    Latency(f64),
    /// Its process or connection ended.
    Down,
    /// It is draining: runs in progress go on, new ones are not started.
    Leaving,
}

/// Health of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamHealth {
    last_heartbeat: Duration,
    /// Start of the current uptime; `None` while it is down.
    up_since: Option<Duration>,
    ramp: Duration,
    failure_rate: f64,
    latency_ratio: f64,
    leaving: bool,
}

impl UpstreamHealth {
    /// A new upstream, announced at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            last_heartbeat: now,
            up_since: Some(now),
            ramp: Duration::ZERO,
            failure_rate: 0.0,
            latency_ratio: 1.0,
            leaving: false,
        }
    }

    /// Applies an event.
    pub fn on_event(&mut self, event: HealthEvent, now: Duration) {
        self.detect_outage(now);
        match event {
            HealthEvent::Heartbeat => self.on_heartbeat(now),
            HealthEvent::Succeeded => {
                self.on_heartbeat(now);
                self.failure_rate *= 1.0 - SMOOTHING;
            }
            HealthEvent::Failed => {
                self.failure_rate += (1.0 - self.failure_rate) * SMOOTHING;
            }
            HealthEvent::Latency(ratio) => {
                self.latency_ratio += (ratio - self.latency_ratio) * SMOOTHING;
            }
            HealthEvent::Down => self.go_down(now),
            HealthEvent::Leaving => self.leaving = true,
        }
    }

    /// Share of the upstream's slots that may be used, from 0 to 1.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_decide::route::UpstreamHealth;
    /// let health = UpstreamHealth::new(Duration::ZERO);
    /// assert_eq!(health.share(Duration::from_secs(1)), 1.0);
    /// assert_eq!(health.share(Duration::from_secs(3)), 0.0);
    /// ```
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        let since_heartbeat = now.saturating_sub(self.last_heartbeat);
        let Some(up_since) = self.up_since else {
            return 0.0;
        };
        if self.leaving || since_heartbeat >= DOWN_AFTER {
            return 0.0;
        }
        let uptime = now.saturating_sub(up_since);
        let ramp_factor = if uptime < self.ramp {
            uptime.as_secs_f64() / self.ramp.as_secs_f64()
        } else {
            1.0
        };
        let success_factor = 1.0 - self.failure_rate;
        let latency_factor = (SLOW_FROM / self.latency_ratio.max(SLOW_FROM)).min(1.0);
        let share = ramp_factor * success_factor * latency_factor;
        share.max(MIN_SHARE) * heartbeat_factor(since_heartbeat)
    }

    fn on_heartbeat(&mut self, now: Duration) {
        self.last_heartbeat = now;
        if self.up_since.is_none() {
            self.up_since = Some(now);
        }
    }

    /// Records an outage since the last heartbeat, so that the upstream returns with a ramp.
    fn detect_outage(&mut self, now: Duration) {
        if now.saturating_sub(self.last_heartbeat) >= DOWN_AFTER {
            self.go_down(self.last_heartbeat + DOWN_AFTER);
        }
    }

    fn go_down(&mut self, at: Duration) {
        let Some(up_since) = self.up_since.take() else {
            return;
        };
        let uptime = at.saturating_sub(up_since);
        let is_flapping = uptime < self.ramp * STEADY_RAMPS;
        self.ramp = if is_flapping {
            (self.ramp * 2).min(MAX_RAMP)
        } else {
            FIRST_RAMP
        };
    }
}

/// Falls linearly from 1 at [`SUSPECT_AFTER`] to 0 at [`DOWN_AFTER`].
fn heartbeat_factor(since_heartbeat: Duration) -> f64 {
    let remaining = DOWN_AFTER.saturating_sub(since_heartbeat).as_secs_f64();
    let span = (DOWN_AFTER - SUSPECT_AFTER).as_secs_f64();
    (remaining / span).min(1.0)
}
