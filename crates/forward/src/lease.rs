//! Lease of a forwarding configuration.
//!
//! A host that is cut off from the control group does not learn that an operator revoked a key. It
//! therefore asks again and again whether its configuration is the newest; a majority of the
//! control group confirms it. A host whose confirmation is older than the lease refuses requests
//! that need a key. The lease counts from when the query was sent, since the group may have
//! accepted a newer configuration just after it answered.
//!
//! The clock passed in must go on while the host is suspended.

use std::time::Duration;

/// The lease by which a host serves its configuration.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::lease::ConfigLease;
/// let at = Duration::from_millis;
/// let mut lease = ConfigLease::new(at(4000));
/// lease.renew(at(100), 7);
/// assert!(lease.is_valid(at(4000), 7));
/// assert!(!lease.is_valid(at(4100), 7), "counted from the query");
/// assert!(lease.is_valid(at(4000), 8), "newer than the confirmed one");
/// assert!(!lease.is_valid(at(4000), 6), "older than the confirmed one");
/// ```
#[derive(Debug, Clone)]
pub struct ConfigLease {
    term: Duration,
    confirmed: Option<(Duration, u64)>,
}

impl ConfigLease {
    /// A lease without a confirmation; each confirmation is valid for `term`.
    #[must_use]
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            confirmed: None,
        }
    }

    /// Records the control group's confirmation, to a query sent at `requested_at`, that `number`
    /// was the newest.
    pub fn renew(&mut self, requested_at: Duration, number: u64) {
        let is_latest = self.confirmed.is_none_or(|(at, _)| requested_at >= at);
        if is_latest {
            self.confirmed = Some((requested_at, number));
        }
    }

    /// Whether a host with configuration `number` may serve it.
    #[must_use]
    pub fn is_valid(&self, now: Duration, number: u64) -> bool {
        let Some((requested_at, newest)) = self.confirmed else {
            return false;
        };
        number >= newest && now < requested_at + self.term
    }
}
