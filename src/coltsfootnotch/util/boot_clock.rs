//! A clock that keeps running while the host is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// The system's boot-time clock, which includes the time in which the machine was suspended.
///
/// The monotonic clock stops during suspension, so a lease measured by it outlives its term and the
/// host acts on a lease that another host may already hold.
#[derive(Debug, Clone, Copy)]
pub struct BootClock;

impl BootClock {
    /// Time since the machine booted, including suspension.
    ///
    /// ```
    /// use coltsfootnotch::util::boot_clock::BootClock;
    /// assert!(BootClock.now() <= BootClock.now());
    /// ```
    #[must_use]
    pub fn now(self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).expect("time since boot is not negative");
        let nanos = u32::try_from(time.tv_nsec).expect("nanoseconds are less than a second");
        Duration::new(seconds, nanos)
    }
}
