//! Whether callers are better off at another host.
//!
//! **Pattern of load.** A balancer spreads callers by a hash, and one client account sends ten times its
//! usual through a single caller: one host of a failure domain gets twelve times its even part, more than
//! its share of a core can read, while the others have time to spare.
//!
//! **Without it** that host reads all it can and the rest waits for connections, many of them in vain, and
//! what is served there is late.
//!
//! **The rule.** A host whose tasks wait long for their turn, and that is asked for more than its part,
//! says that it is not ready and asks callers to close their connections, so that the balancer sends them
//! elsewhere. Until the balancer does, it refuses at once what it can't read in time, before any work on it:
//! a caller that is refused comes to another host, one that waits for its turn does not. It stays so for
//! some seconds: the callers come to one host after the other, until one is strong enough for them. A fleet
//! that is short everywhere stays ready everywhere, since nobody is asked for more than its part.

use std::time::Duration;

/// Wait of a task for its turn from which a host counts as busy. An idle host needs microseconds, one
/// that keeps up with its callers some milliseconds; at 40 a request that takes five turns is late by
/// half of the tightest target in use.
const LONG_WAIT: Duration = Duration::from_millis(40);
/// Time for which it must be busy without a break, so that a single burst does not count.
const BUSY_FOR: Duration = Duration::from_millis(500);
/// Multiple of its even part from which a host is asked for too much.
const TOO_MUCH: f64 = 2.0;
/// Time for which it sends callers elsewhere. Balancers need two to three seconds to notice, and as many for
/// the next host, so callers see some five hosts in it. With less they go round between the weakest few
/// and never come to a strong one.
const REST: Duration = Duration::from_secs(20);

/// Added to the part of requests that is refused unread for each observation of a long wait, and taken off
/// it for each of a short one. With an observation each 100 ms a host at twice what it can read comes back
/// to short waits within a second, and reads everything again two seconds after its callers have left.
const REFUSE_MORE: f64 = 0.10;
const REFUSE_LESS: f64 = 0.05;
/// Most that is refused unread, so that a host never stops serving on its own word alone.
const REFUSE_MOST: f64 = 0.90;

/// Tells whether callers are better off at another host.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::overload::Overload;
/// let at = Duration::from_millis;
/// let mut overload = Overload::default();
/// for now in (100..1_000).step_by(100) {
///     overload.observe(at(now), at(200), 5.0);
/// }
/// assert!(overload.is_overloaded(at(1_000)));
/// overload.observe(at(21_000), at(1), 0.0);
/// assert!(!overload.is_overloaded(at(21_000)), "rested");
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Overload {
    busy_since: Option<Duration>,
    rests_until: Duration,
    refused: f64,
}

impl Overload {
    /// A task has waited `waited` for its turn; the host is asked for `times` its even part.
    pub fn observe(&mut self, now: Duration, waited: Duration, times: f64) {
        if waited < LONG_WAIT {
            self.busy_since = None;
            self.refused = (self.refused - REFUSE_LESS).max(0.0);
            return;
        }
        // What is refused unread no longer counts as asked for, so a host that rests goes by its waits alone.
        if times >= TOO_MUCH || self.is_overloaded(now) {
            self.refused = (self.refused + REFUSE_MORE).min(REFUSE_MOST);
        }
        let since = *self.busy_since.get_or_insert(now);
        if now.saturating_sub(since) >= BUSY_FOR && times >= TOO_MUCH {
            self.rests_until = now + REST;
        }
    }

    /// Part of the requests that is refused at once, unread.
    #[must_use]
    pub fn refused_part(&self) -> f64 {
        self.refused
    }

    /// Whether callers are better off at another host now.
    #[must_use]
    pub fn is_overloaded(&self, now: Duration) -> bool {
        now < self.rests_until
    }
}
