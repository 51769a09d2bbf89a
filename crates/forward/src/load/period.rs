//! How often entries report, and are told of each other.

use std::time::Duration;

/// Between two reports of a small fleet. Shorter than the time in which an engine works off what may
/// wait there, so that an entry does not fill what another just filled.
const SHORTEST: Duration = Duration::from_millis(100);

/// Added for each entry of a large fleet. A control host takes and sends one message an entry and
/// period, each some 50 microseconds: with this it spends at most a twentieth of a core on them, however
/// many entries there are.
const PER_ENTRY: Duration = Duration::from_millis(2);

/// Between two reports of an entry, and between two rounds in which a control host tells them.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::reporting_period;
/// assert_eq!(reporting_period(13), Duration::from_millis(100));
/// assert_eq!(reporting_period(300), Duration::from_millis(600));
/// ```
#[must_use]
pub fn reporting_period(entries: u32) -> Duration {
    SHORTEST.max(PER_ENTRY.saturating_mul(entries))
}
