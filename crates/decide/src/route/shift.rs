//! Gradual shift of load between versions.

use std::time::Duration;

/// Share of a pool's load that moves per second. Leaves time for prefix caches to warm up and for
/// an operator to notice errors of a new version.
const SHIFT_PER_SECOND: f64 = 0.01;

/// Weight of one version or role, which moves to its target at a fixed rate.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::route::VersionShift;
/// let mut shift = VersionShift::new(0.0);
/// shift.set_target(1.0, Duration::from_secs(10));
/// assert_eq!(shift.share(Duration::from_secs(60)), 0.5);
/// assert_eq!(shift.share(Duration::from_secs(600)), 1.0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VersionShift {
    from: f64,
    to: f64,
    started_at: Duration,
}

impl VersionShift {
    /// A version with a constant share, limited to 0 to 1.
    #[must_use]
    pub fn new(share: f64) -> Self {
        let share = share.clamp(0.0, 1.0);
        Self {
            from: share,
            to: share,
            started_at: Duration::ZERO,
        }
    }

    /// Starts to move from the current share to another one.
    pub fn set_target(&mut self, share: f64, now: Duration) {
        self.from = self.share(now);
        self.to = share.clamp(0.0, 1.0);
        self.started_at = now;
    }

    /// Share at `now`, from 0 to 1.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        let moved = now.saturating_sub(self.started_at).as_secs_f64() * SHIFT_PER_SECOND;
        let distance = self.to - self.from;
        self.from + distance.clamp(-moved, moved)
    }
}

/// Slots of a window of `limit` that may be used at a share between 0 and 1.
///
/// At least one for any share above zero, so that a recovering upstream gets requests to recover
/// by.
#[must_use]
pub fn usable_slots(limit: u32, share: f64) -> u32 {
    (f64::from(limit) * share.clamp(0.0, 1.0)).ceil() as u32
}
