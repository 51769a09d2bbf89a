//! A clock that goes on while the host is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the machine started, the time in which it was suspended included.
///
/// The steady clock stands still while a machine is suspended. A lease measured by it would outlive
/// its term by that time, and a host could go on by what was taken from it meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct BootClock;

impl BootClock {
    /// Time since the machine started.
    ///
    /// ```
    /// use coltsfootnotch::util::boot_clock::BootClock;
    /// assert!(BootClock.now() <= BootClock.now());
    /// ```
    #[must_use]
    pub fn now(self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).expect("time since the start is not negative");
        let nanos = u32::try_from(time.tv_nsec).expect("nanoseconds are below a second");
        Duration::new(seconds, nanos)
    }
}
