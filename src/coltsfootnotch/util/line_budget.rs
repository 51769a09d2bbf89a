//! How many lines of one kind are written in a second.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Room for this many lines in the low bits, above them the second.
const COUNT_BITS: u32 = 16;

/// A budget of lines, best asked before a line is made.
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
    /// Lines a second.
    lines: u64,
    /// The second, and the lines of it.
    used: AtomicU64,
}

impl LineBudget {
    /// So many lines each second.
    #[must_use]
    pub fn new(lines: u16) -> Self {
        Self {
            lines: lines.into(),
            used: AtomicU64::new(0),
        }
    }

    /// Takes one line of this second, if there is one left.
    pub fn take(&self, now: Duration) -> bool {
        let second = now.as_secs() << COUNT_BITS;
        let used = self.used.load(Ordering::Relaxed);
        let is_same = used >> COUNT_BITS == now.as_secs();
        let next = if is_same { used + 1 } else { second + 1 };
        if next - second > self.lines {
            return false;
        }
        // Two threads at once may write one line too many.
        self.used.store(next, Ordering::Relaxed);
        true
    }
}
