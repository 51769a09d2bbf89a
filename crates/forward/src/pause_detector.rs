//! Detection of pauses of the process.
//!
//! While a host is frozen or suspended, connections and requests pile up. When it resumes, their
//! callers have left, and new callers wait behind work that nobody needs. A host whose regular tick
//! is late by more than a second therefore refuses the requests that it reads until that backlog is
//! gone.
//!
//! The clock passed in must go on while the host is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Lateness of the tick from which the process counts as paused. A busy host is late by some tens
/// of milliseconds.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// How long requests are refused after a pause.
const REFUSE_FOR: Duration = Duration::from_millis(400);

/// Detects pauses of the process; shared by the tasks that read requests.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::pause_detector::PauseDetector;
/// let at = Duration::from_millis;
/// let pause_detector = PauseDetector::default();
/// pause_detector.tick(at(100));
/// assert!(!pause_detector.should_refuse(at(300)));
/// assert!(pause_detector.should_refuse(at(5_000)), "the tick is five seconds late");
/// assert!(pause_detector.tick(at(5_010)));
/// assert!(pause_detector.should_refuse(at(5_300)));
/// assert!(!pause_detector.should_refuse(at(5_500)));
/// ```
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_tick_ms: AtomicU64,
    refuse_until_ms: AtomicU64,
}

impl PauseDetector {
    /// Records the regular tick. Returns whether the process was paused since the last one.
    pub fn tick(&self, now: Duration) -> bool {
        let previous = self.last_tick_ms.swap(millis(now), Ordering::Relaxed);
        let is_paused = previous > 0 && millis(now) > previous + millis(PAUSE_THRESHOLD);
        if is_paused {
            let until = millis(now + REFUSE_FOR);
            self.refuse_until_ms.store(until, Ordering::Relaxed);
        }
        is_paused
    }

    /// Whether requests that are read now have waited through a pause.
    #[must_use]
    pub fn should_refuse(&self, now: Duration) -> bool {
        let last_tick = self.last_tick_ms.load(Ordering::Relaxed);
        let is_paused = last_tick > 0 && millis(now) > last_tick + millis(PAUSE_THRESHOLD);
        is_paused || millis(now) < self.refuse_until_ms.load(Ordering::Relaxed)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
