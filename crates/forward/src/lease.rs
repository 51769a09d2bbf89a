//! How long a host may go on by the configuration it holds.
//!
//! **Failure.** A host is cut off from the control hosts while an operator takes a key away. Nothing
//! reaches it, so it would serve that key for as long as the cut lasts.
//!
//! **Safeguard.** A host asks again and again whether its configuration is still the newest, and a
//! majority of the control group confirms it. The confirmation counts from when the question was
//! *sent*: the group may have accepted a newer one just after it answered. A host without a
//! confirmation that is young enough refuses requests that need a key.
//!
//! The time must be one that goes on while the host is suspended, or the lease would outlive it.

use std::time::Duration;

/// A host's right to go on by the configuration it holds.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::lease::ConfigLease;
/// let at = Duration::from_millis;
/// let mut lease = ConfigLease::new(at(4000));
/// lease.confirmed(at(100), 7);
/// assert!(lease.holds(at(4000), 7));
/// assert!(!lease.holds(at(4100), 7), "counted from the question");
/// assert!(lease.holds(at(4000), 8), "a newer one than the confirmed is as good");
/// assert!(!lease.holds(at(4000), 6), "an older one is known to be out of date");
/// ```
#[derive(Debug, Clone)]
pub struct ConfigLease {
    term: Duration,
    confirmed: Option<(Duration, u64)>,
}

impl ConfigLease {
    /// A lease that nobody has confirmed yet; each confirmation holds for `term`.
    #[must_use]
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            confirmed: None,
        }
    }

    /// The control group confirmed that `number` was the newest at some time after `asked`.
    pub fn confirmed(&mut self, asked: Duration, number: u64) {
        let later = self.confirmed.is_none_or(|(at, _)| asked >= at);
        if later {
            self.confirmed = Some((asked, number));
        }
    }

    /// Whether a host that holds `number` may go on by it.
    #[must_use]
    pub fn holds(&self, now: Duration, number: u64) -> bool {
        let Some((asked, newest)) = self.confirmed else {
            return false;
        };
        number >= newest && now < asked + self.term
    }
}
