//! Whether a host has just stood still.
//!
//! **Pattern of load.** A host is frozen or suspended for seconds under load. Connections and requests
//! pile up before it; when it wakes, it works through them in order, though their callers have long
//! left: every caller who comes meanwhile waits behind work that nobody wants, and engines are given
//! some of it.
//!
//! **The rule.** A host that finds that its own regular tick is late by more than a second refuses what
//! it reads, until the pile is gone. That costs a fraction of serving it, and it is true that nothing
//! ran.
//!
//! The time must be one that goes on while the host is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Lateness of the tick that shows a stand-still. A busy host is late by some tens of milliseconds;
/// callers give up requests that are not read for a second.
const STOOD_STILL: Duration = Duration::from_millis(1_000);
/// Time for which requests are refused after it: a pile of some thousand is refused within it.
const REFUSE_FOR: Duration = Duration::from_millis(400);

/// Tells whether a host has just stood still; shared by the tasks that read requests.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::awake::Awake;
/// let at = Duration::from_millis;
/// let awake = Awake::default();
/// awake.tick(at(100));
/// assert!(!awake.has_stood_still(at(300)));
/// assert!(awake.has_stood_still(at(5_000)), "the tick is five seconds late");
/// assert!(awake.tick(at(5_010)));
/// assert!(awake.has_stood_still(at(5_300)));
/// assert!(!awake.has_stood_still(at(5_500)));
/// ```
#[derive(Debug, Default)]
pub struct Awake {
    ticked_ms: AtomicU64,
    refuse_until_ms: AtomicU64,
}

impl Awake {
    /// The regular tick; whether the host has stood still since the last.
    pub fn tick(&self, now: Duration) -> bool {
        let before = self.ticked_ms.swap(millis(now), Ordering::Relaxed);
        let late = before > 0 && millis(now) > before + millis(STOOD_STILL);
        if late {
            let until = millis(now + REFUSE_FOR);
            self.refuse_until_ms.store(until, Ordering::Relaxed);
        }
        late
    }

    /// Whether requests that are read now have waited through a stand-still.
    #[must_use]
    pub fn has_stood_still(&self, now: Duration) -> bool {
        let ticked = self.ticked_ms.load(Ordering::Relaxed);
        let is_late = ticked > 0 && millis(now) > ticked + millis(STOOD_STILL);
        is_late || millis(now) < self.refuse_until_ms.load(Ordering::Relaxed)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
