//! How many lines of one kind are written in a second.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Lines a second. Making a line costs some 20 microseconds whether it is written or not; in a flood of
/// some hundred refusals a second on a small share of a core that is a tenth of all there is.
const LINES: u64 = 50;

/// Room for this many lines in the low bits, above them the second.
const COUNT_BITS: u32 = 16;

/// A budget of lines, asked before a line is made.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch::util::line_budget::LineBudget;
/// let budget = LineBudget::default();
/// let now = Duration::from_secs(7);
/// assert_eq!((0..80).filter(|_| budget.take(now)).count(), 50);
/// assert!(budget.take(now + Duration::from_secs(1)));
/// ```
#[derive(Debug, Default)]
pub struct LineBudget {
    /// The second, and the lines of it.
    used: AtomicU64,
}

impl LineBudget {
    /// Takes one line of this second, if there is one left.
    pub fn take(&self, now: Duration) -> bool {
        let second = now.as_secs() << COUNT_BITS;
        let used = self.used.load(Ordering::Relaxed);
        let is_same = used >> COUNT_BITS == now.as_secs();
        let next = if is_same { used + 1 } else { second + 1 };
        if next - second > LINES {
            return false;
        }
        // Two threads at once may write one line too many.
        self.used.store(next, Ordering::Relaxed);
        true
    }
}
