//! Sleeping that a stop or a crash can cut short.

use std::thread;
use std::time::{Duration, Instant};

/// Longest uninterrupted sleep: an aborted request ends within this time.
const SLICE: Duration = Duration::from_millis(20);

/// Sleeps for `time` unless `aborted` says to end; returns whether it slept to the end.
pub(crate) fn sleep_unless(time: Duration, aborted: impl Fn() -> bool) -> bool {
    let end = Instant::now() + time;
    loop {
        if aborted() {
            return false;
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(SLICE));
    }
}
