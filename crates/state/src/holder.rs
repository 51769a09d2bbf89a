//! What the holder of a lease may do, by its own clock alone.
//!
//! The holder counts from when it *sent* each request, which is before the leader stamped it, and
//! stops after the lease shortened by the drift bound. It stops without any message, so a holder
//! that is cut off, or whose leader is, stops in time as well.

use std::time::Duration;

use crate::{DriftBound, FencingNumber, LeaseReply};

/// How an engine is protected from the orders of an earlier holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// The engine refuses orders with old numbers: the new holder orders at once.
    Numbers,
    /// The engine ignores numbers: a new holder first waits until every order of an earlier one that
    /// expired unreleased has surely ended, and each of its own ends within the lease.
    Wait {
        /// Longest time from sending an order to its end; the sidecar in front of the engine aborts
        /// it then.
        order_timeout: Duration,
    },
}

/// The holder's view of its lease.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_state::{DriftBound, FencingNumber, Guard, LeaseHolder, LeaseReply};
/// let sec = Duration::from_secs;
/// let reply = LeaseReply::Granted { number: FencingNumber(9), ttl: sec(10), after_expired: None };
/// let mut holder = LeaseHolder::new(DriftBound::DEFAULT);
/// holder.on_reply(sec(100), sec(101), &reply);
/// assert!(holder.may_act(sec(109)));
/// assert!(!holder.may_act(sec(110)), "it stops before the log can hand the lease on");
/// assert!(!holder.may_order(sec(109), Guard::Wait { order_timeout: sec(2) }));
/// ```
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    drift: DriftBound,
    held: Option<Held>,
    given_up: Option<FencingNumber>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    number: FencingNumber,
    granted: Duration,
    after_expired: bool,
    stop: Duration,
}

impl LeaseHolder {
    /// A process that holds no lease.
    #[must_use]
    pub fn new(drift: DriftBound) -> Self {
        Self {
            drift,
            held: None,
            given_up: None,
        }
    }

    /// Takes the reply, received at `now`, to a `Grant` or `Renew` that was sent at `sent`.
    ///
    /// A request that was sent several times counts from its *first* sending, unless the replies can
    /// be told apart.
    pub fn on_reply(&mut self, sent: Duration, now: Duration, reply: &LeaseReply) {
        match reply {
            LeaseReply::Granted {
                number,
                ttl,
                after_expired,
            } => self.extend(sent, now, *number, *ttl, after_expired.is_some()),
            LeaseReply::Released | LeaseReply::Lost | LeaseReply::Held { .. } => self.held = None,
            LeaseReply::BadTtl => {}
        }
    }

    fn extend(
        &mut self,
        sent: Duration,
        now: Duration,
        number: FencingNumber,
        ttl: Duration,
        after_expired: bool,
    ) {
        // A late reply from before the release: the lease may have gone to another holder since.
        if Some(number) <= self.given_up {
            return;
        }
        let stop = sent + self.drift.shorten(ttl);
        match &mut self.held {
            Some(held) if held.number == number => held.stop = held.stop.max(stop),
            Some(held) if held.number > number => {}
            _ => {
                self.held = Some(Held {
                    number,
                    granted: now,
                    after_expired,
                    stop,
                });
            }
        }
    }

    /// Gives the lease up before it is released in the log.
    pub fn give_up(&mut self) -> Option<FencingNumber> {
        let number = self.held.take().map(|h| h.number)?;
        self.given_up = Some(number);
        Some(number)
    }

    /// The fencing number, while the lease is held at `now`.
    #[must_use]
    pub fn number(&self, now: Duration) -> Option<FencingNumber> {
        self.held.filter(|h| now < h.stop).map(|h| h.number)
    }

    /// Whether the lease is held at `now`.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        self.number(now).is_some()
    }

    /// Whether an order may be sent at `now` to an engine protected by `guard`.
    #[must_use]
    pub fn may_order(&self, now: Duration, guard: Guard) -> bool {
        let Some(held) = self.held.filter(|h| now < h.stop) else {
            return false;
        };
        match guard {
            Guard::Numbers => true,
            Guard::Wait { order_timeout } => {
                let ends_in_time = now + order_timeout <= held.stop;
                let waited = now >= held.granted + self.wait(&held, order_timeout);
                ends_in_time && waited
            }
        }
    }

    /// When to ask for the lease again: after a third of the time left at the last grant, so that two
    /// requests may be lost.
    #[must_use]
    pub fn renew_at(&self, ttl: Duration) -> Option<Duration> {
        self.held.map(|h| h.stop.saturating_sub(ttl * 2 / 3))
    }

    fn wait(&self, held: &Held, order_timeout: Duration) -> Duration {
        match held.after_expired {
            true => self.drift.lengthen(order_timeout),
            false => Duration::ZERO,
        }
    }
}
