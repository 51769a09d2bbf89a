//! How much of an upstream is used, from how well it does.

use std::time::Duration;

/// Without a sign of life for this long an upstream gets no new work, within the three seconds that
/// the users allow. Signs come once a second, so two in a row were lost; the sidecar beside the
/// upstream decides every start, so no time is needed for the word to spread.
const SILENT_AFTER: Duration = Duration::from_millis(2_800);

/// Without a sign for this long it is suspect and its share falls, in a line to zero at silence. One
/// lost sign costs less than half of the share, for a moment.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);

/// Time in which an upstream that was away once gains its whole share back: it proves itself on a few
/// requests first. One that is new has no ramp, since its window begins low and grows.
const FIRST_RAMP: Duration = Duration::from_secs(10);

/// Longest ramp. Each outage soon after the one before doubles the ramp, so that a flapping upstream
/// is left with little work, and work in progress on it is seldom lost.
const MAX_RAMP: Duration = Duration::from_secs(320);

/// A time up of this many ramps ends the doubling: the upstream has stopped flapping.
const STEADY_RAMPS: u32 = 4;

/// Share of the newest result in the running rate of failures: a tenth, so that one failure costs a
/// tenth of the share and ten in a row two thirds.
const NEWEST_SHARE: f64 = 0.1;

/// An upstream slower than its pool by this factor begins to lose work. Load differs between the
/// upstreams of a pool by less than half.
const SLOW_FROM: f64 = 1.5;

/// Least share of an upstream that answers at all, so that its recovery is seen.
const MIN_SHARE: f64 = 0.05;

/// What happened to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthEvent {
    /// A sign of life.
    Alive,
    /// A run succeeded.
    Succeeded,
    /// A run failed through the upstream's fault.
    Failed,
    /// Its latency compared with the median of its pool; 1 is the same.
    Latency(f64),
    /// Its process or connection ended.
    Down,
    /// It has announced that it leaves: work in progress goes on, no new work comes.
    Leaving,
}

/// The health of one upstream, as the share of its slots that is used.
#[derive(Debug, Clone)]
pub struct UpstreamHealth {
    last_sign: Duration,
    /// When it came up, or back; `None` while it is down.
    up_since: Option<Duration>,
    ramp: Duration,
    failure_rate: f64,
    slowness: f64,
    leaving: bool,
}

impl UpstreamHealth {
    /// An upstream that has just announced itself.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            last_sign: now,
            up_since: Some(now),
            ramp: Duration::ZERO,
            failure_rate: 0.0,
            slowness: 1.0,
            leaving: false,
        }
    }

    /// Takes in what happened.
    pub fn on_event(&mut self, event: HealthEvent, now: Duration) {
        self.fall_silent(now);
        match event {
            HealthEvent::Alive => self.on_sign(now),
            HealthEvent::Succeeded => {
                self.on_sign(now);
                self.failure_rate *= 1.0 - NEWEST_SHARE;
            }
            HealthEvent::Failed => {
                self.failure_rate += (1.0 - self.failure_rate) * NEWEST_SHARE;
            }
            HealthEvent::Latency(ratio) => {
                self.slowness += (ratio - self.slowness) * NEWEST_SHARE;
            }
            HealthEvent::Down => self.go_down(now),
            HealthEvent::Leaving => self.leaving = true,
        }
    }

    /// Share of its slots that may be used, from 0 to 1.
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
        let quiet = now.saturating_sub(self.last_sign);
        let Some(up_since) = self.up_since else {
            return 0.0;
        };
        if self.leaving || quiet >= SILENT_AFTER {
            return 0.0;
        }
        let up = now.saturating_sub(up_since);
        let ramped = if up < self.ramp {
            up.as_secs_f64() / self.ramp.as_secs_f64()
        } else {
            1.0
        };
        let well = 1.0 - self.failure_rate;
        let fast = (SLOW_FROM / self.slowness.max(SLOW_FROM)).min(1.0);
        let share = ramped * well * fast;
        share.max(MIN_SHARE) * trust(quiet)
    }

    fn on_sign(&mut self, now: Duration) {
        self.last_sign = now;
        if self.up_since.is_none() {
            self.up_since = Some(now);
        }
    }

    /// Notices a silence that has passed: the upstream comes back by a ramp, not at once.
    fn fall_silent(&mut self, now: Duration) {
        if now.saturating_sub(self.last_sign) >= SILENT_AFTER {
            self.go_down(self.last_sign + SILENT_AFTER);
        }
    }

    fn go_down(&mut self, at: Duration) {
        let Some(up_since) = self.up_since.take() else {
            return;
        };
        let was_up = at.saturating_sub(up_since);
        let is_flapping = was_up < self.ramp * STEADY_RAMPS;
        self.ramp = if is_flapping {
            (self.ramp * 2).min(MAX_RAMP)
        } else {
            FIRST_RAMP
        };
    }
}

/// Falls from 1 to 0 between suspicion and silence.
fn trust(quiet: Duration) -> f64 {
    let left = SILENT_AFTER.saturating_sub(quiet).as_secs_f64();
    let span = (SILENT_AFTER - SUSPECT_AFTER).as_secs_f64();
    (left / span).min(1.0)
}
