//! Time between two searches for an upstream.

use std::time::Duration;

/// Time between two searches while there is no time to lose, and between the first two otherwise; an engine prefills
/// about three queued prompts in it.
pub(super) const MIN_INTERVAL: Duration = Duration::from_millis(60);
/// Longest time between two searches. All requests at an upstream fall silent together and search at the same time.
const MAX_INTERVAL: Duration = Duration::from_millis(960);

/// Growing intervals between searches for an upstream, while the present one may still respond.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::streams::SearchInterval;
/// let mut interval = SearchInterval::default();
/// assert_eq!(interval.next_interval(), Duration::from_millis(60));
/// assert_eq!(interval.next_interval(), Duration::from_millis(120));
/// ```
#[derive(Debug, Clone)]
pub struct SearchInterval(Duration);

impl Default for SearchInterval {
    fn default() -> Self {
        Self(MIN_INTERVAL)
    }
}

impl SearchInterval {
    /// The time until the next search, which doubles with each up to a limit.
    pub fn next_interval(&mut self) -> Duration {
        let interval = self.0;
        self.0 = (interval * 2).min(MAX_INTERVAL);
        interval
    }
}
