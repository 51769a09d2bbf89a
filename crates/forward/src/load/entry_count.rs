//! Number of entries that share a limit.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which the greatest number reported counts. A control host that was just started, or is cut off
/// from others, knows a part of the entries only; each of them would use too much of a limit until it knows
/// the rest. As long as the usual window of limits.
const RETENTION: Duration = Duration::from_secs(10);

/// Number of entries of the fleet as control hosts report it.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::EntryCount;
/// let at = Duration::from_secs;
/// let mut count = EntryCount::default();
/// assert_eq!(count.sharing(), None);
/// count.record(at(1), 300);
/// count.record(at(2), 40);
/// assert_eq!(count.sharing(), Some(300), "a part of the entries reported elsewhere for a moment");
/// count.record(at(12), 40);
/// assert_eq!((count.sharing(), count.current()), (Some(40), Some(40)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct EntryCount {
    /// Reports that are greater than all later ones.
    greatest: VecDeque<(Duration, u32)>,
}

impl EntryCount {
    /// Records the number that a control host reports.
    pub fn record(&mut self, now: Duration, entries: u32) {
        while self.greatest.pop_back_if(|(_, n)| *n <= entries).is_some() {}
        self.greatest.push_back((now, entries.max(1)));
        let is_past = |at: &Duration| now.saturating_sub(*at) >= RETENTION;
        while self.greatest.pop_front_if(|(at, _)| is_past(at)).is_some() {}
    }

    /// Number of entries by which limits are divided; none before the first report.
    #[must_use]
    pub fn sharing(&self) -> Option<u32> {
        self.greatest.front().map(|(_, entries)| *entries)
    }

    /// The number that was reported last.
    #[must_use]
    pub fn current(&self) -> Option<u32> {
        self.greatest.back().map(|(_, entries)| *entries)
    }
}
