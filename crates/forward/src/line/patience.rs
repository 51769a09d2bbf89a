//! How long a request waits for an engine with room.

use std::time::Duration;

use crate::place::{Refusal, RefusalReason};

/// Least wait that is worth it; engines' load changes no faster.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Usage relative to the fair share up to which an account's requests wait.
const MAX_PRESSURE: f64 = 0.9;

/// Whether requests of an account wait that has used `pressure` of its share, while `fraction` of its demand is
/// within it. What an account asks for above its share would take the turns of others.
///
/// ```
/// use coltsfootnotch_forward::line::may_wait;
/// assert!(may_wait(0.4, 1.0));
/// assert!(!may_wait(1.2, 1.0));
/// assert!(!may_wait(0.4, 0.2));
/// ```
#[must_use]
pub fn may_wait(pressure: f64, fraction: f64) -> bool {
    pressure < MAX_PRESSURE && fraction >= 1.0
}

/// Time in which a request can still begin within its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Time left of the request's target.
    pub target_left: Duration,
    /// Time that an engine takes for its prompt once its turn has come.
    pub own_time: Duration,
}

impl Patience {
    /// How long a request waits that can begin at once as soon as there is an upstream.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::line::Patience;
    /// let ms = Duration::from_millis;
    /// let patience = Patience { target_left: ms(600), own_time: ms(110) };
    /// assert_eq!(patience.longest_wait(), Some(ms(490)));
    /// ```
    #[must_use]
    pub fn longest_wait(&self) -> Option<Duration> {
        let time = self.target_left.checked_sub(self.own_time)?;
        (time >= MIN_WAIT).then_some(time)
    }

    /// How long a request that was refused for `refusal` waits; none if it is refused for good.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_forward::line::Patience;
    /// use coltsfootnotch_forward::place::{Refusal, RefusalReason};
    /// let ms = Duration::from_millis;
    /// let refusal = Refusal {
    ///     reason: RefusalReason::HomesSaturated,
    ///     retry_after: ms(100),
    ///     is_saturated: false,
    ///     wait: Some((ms(180), ms(150))),
    /// };
    /// let patience = Patience { target_left: ms(600), own_time: ms(110) };
    /// assert_eq!(patience.wait(&refusal), Some(ms(340)));
    /// let hasty = Patience { target_left: ms(200), own_time: ms(50) };
    /// assert_eq!(hasty.wait(&refusal), None, "an engine at its limit would start it too late");
    /// ```
    #[must_use]
    pub fn wait(&self, refusal: &Refusal) -> Option<Duration> {
        let is_full = matches!(
            refusal.reason,
            RefusalReason::Saturated | RefusalReason::HomesSaturated
        );
        let (wait, bound) = refusal.wait.filter(|_| is_full)?;
        // An engine with room has up to the bound ahead of the request.
        let time = self.longest_wait()?.checked_sub(bound)?;
        let excess = wait.saturating_sub(bound);
        (time >= MIN_WAIT.max(excess)).then_some(time)
    }
}
