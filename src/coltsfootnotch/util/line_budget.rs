//! Limits the number of log lines of one kind per second.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Number of low bits that hold the count; the bits above hold the second.
const COUNT_BITS: u32 = 16;

/// A budget of log lines per second, to be checked before a line is formatted.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch::util::line_budget::LineBudget;
/// let budget = LineBudget::new(50);
/// let now = Duration::from_secs(7);
/// assert_eq!((0..80).filter(|_| budget.take(now)).count(), 50);
/// assert!(budget.take(now + Duration::from_secs(1)));
/// ```
#[derive(Debug)]
pub struct LineBudget {
    /// Maximum number of lines per second.
    lines: u64,
    /// The current second and the number of lines taken in it.
    used: AtomicU64,
}

impl LineBudget {
    /// Creates a budget of `lines` per second.
    #[must_use]
    pub fn new(lines: u16) -> Self {
        Self {
            lines: lines.into(),
            used: AtomicU64::new(0),
        }
    }

    /// Takes a line from the budget of the current second; false when it is exhausted.
    pub fn take(&self, now: Duration) -> bool {
        let second = now.as_secs() << COUNT_BITS;
        let used = self.used.load(Ordering::Relaxed);
        let is_same = used >> COUNT_BITS == now.as_secs();
        let next = if is_same { used + 1 } else { second + 1 };
        if next - second > self.lines {
            return false;
        }
        // Not atomic: concurrent callers may exceed the budget by a line.
        self.used.store(next, Ordering::Relaxed);
        true
    }
}
