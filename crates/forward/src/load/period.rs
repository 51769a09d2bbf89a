//! Interval of load reports.

use std::time::Duration;

/// Interval in a small fleet; shorter than an engine takes to work off its backlog, so that entries
/// do not overfill it.
const MIN_PERIOD: Duration = Duration::from_millis(100);

/// Interval per entry in a large fleet. A control host receives and sends one message per entry and
/// period, some 50 microseconds each, so this keeps them below a tenth of a core.
const PER_ENTRY: Duration = Duration::from_micros(1_400);

/// Longest interval, whatever the number of entries is said to be.
const MAX_PERIOD: Duration = Duration::from_secs(30);

/// Time between two reports of an entry, and between two broadcasts of a control host.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::reporting_period;
/// assert_eq!(reporting_period(13), Duration::from_millis(100));
/// assert_eq!(reporting_period(300), Duration::from_millis(420));
/// ```
#[must_use]
pub fn reporting_period(entries: u32) -> Duration {
    PER_ENTRY
        .saturating_mul(entries)
        .clamp(MIN_PERIOD, MAX_PERIOD)
}
