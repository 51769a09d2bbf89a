//! Moving work between versions at a stated rate.

use std::time::Duration;

/// Share of a pool's work that moves in a second: a whole shift takes a hundred seconds. Engines
/// warm their prefix caches within tens of seconds, and an operator who sees errors in the first
/// minute has moved less than two thirds.
const SHIFT_PER_SECOND: f64 = 0.01;

/// The weight of one version or role, on its way from one share to another.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::route::VersionShift;
/// let mut shift = VersionShift::new(0.0);
/// shift.aim(1.0, Duration::from_secs(10));
/// assert_eq!(shift.share(Duration::from_secs(60)), 0.5);
/// assert_eq!(shift.share(Duration::from_secs(600)), 1.0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VersionShift {
    from: f64,
    to: f64,
    began: Duration,
}

impl VersionShift {
    /// A version that has a share between 0 and 1 from the start.
    #[must_use]
    pub fn new(share: f64) -> Self {
        let share = share.clamp(0.0, 1.0);
        Self {
            from: share,
            to: share,
            began: Duration::ZERO,
        }
    }

    /// Moves towards another share from where it stands now.
    pub fn aim(&mut self, share: f64, now: Duration) {
        self.from = self.share(now);
        self.to = share.clamp(0.0, 1.0);
        self.began = now;
    }

    /// The share now.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        let moved = now.saturating_sub(self.began).as_secs_f64() * SHIFT_PER_SECOND;
        let way = self.to - self.from;
        self.from + way.clamp(-moved, moved)
    }
}

/// Slots of a window that are used at a share between 0 and 1.
///
/// Any share above zero uses at least one slot: without a request now and then, a recovering
/// upstream could never show that it is well.
#[must_use]
pub fn usable_slots(limit: u32, share: f64) -> u32 {
    (f64::from(limit) * share.clamp(0.0, 1.0)).ceil() as u32
}
