//! Interruptible sleep.

use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a sleep checks whether it is interrupted.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sleeps for `time` or until `interrupted` returns `true`; returns whether the full time passed.
pub(crate) fn sleep_unless(time: Duration, interrupted: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + time;
    loop {
        if interrupted() {
            return false;
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return true;
        }
        thread::sleep(remaining.min(POLL_INTERVAL));
    }
}
