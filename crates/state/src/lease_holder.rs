//! The holder's side of a lease, by the local clock alone.
//!
//! The lease is counted from when the request was *sent*, which is before the leader stamped it,
//! and shortened by the drift bound. It ends without any message, so a partitioned holder stops in
//! time.

use std::time::Duration;

use crate::{DriftBound, FencingNumber, LeaseReply};

/// How an engine is protected from orders of an earlier holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FencingMode {
    /// The engine refuses orders with old numbers: a new holder may send orders at once.
    Numbers,
    /// The engine ignores numbers. If the previous lease expired without a release, the new holder
    /// waits until all orders sent under it have ended. Each of its own orders must end within the
    /// lease.
    Wait {
        /// Maximum time from sending an order to its end; the sidecar aborts it then.
        order_timeout: Duration,
    },
}

/// The local state of a lease that this process holds or requests.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_state::{DriftBound, FencingNumber, FencingMode, LeaseHolder, LeaseReply};
/// let sec = Duration::from_secs;
/// let (number, ttl) = (FencingNumber(9), sec(10));
/// let reply = LeaseReply::Granted { number, ttl, expired_predecessor: None };
/// let mut holder = LeaseHolder::new(DriftBound::DEFAULT);
/// holder.on_reply(sec(100), sec(101), &reply);
/// assert!(holder.is_held(sec(109)));
/// assert!(!holder.is_held(sec(110)), "the lease ends before it can be granted to another holder");
/// assert!(!holder.can_order(sec(109), FencingMode::Wait { order_timeout: sec(2) }));
/// ```
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    drift: DriftBound,
    held: Option<Held>,
    released: Option<FencingNumber>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    number: FencingNumber,
    granted: Duration,
    has_expired_predecessor: bool,
    stop: Duration,
}

impl LeaseHolder {
    /// Creates the state of a process that holds no lease.
    #[must_use]
    pub fn new(drift: DriftBound) -> Self {
        Self {
            drift,
            held: None,
            released: None,
        }
    }

    /// Applies the reply, received at `now`, to a `Grant` or `Renew` that was sent at `sent`.
    ///
    /// For a request that was sent several times, `sent` is the time of its *first* sending, unless
    /// the replies can be matched to each sending.
    pub fn on_reply(&mut self, sent: Duration, now: Duration, reply: &LeaseReply) {
        match reply {
            LeaseReply::Granted {
                number,
                ttl,
                expired_predecessor,
            } => self.extend(sent, now, *number, *ttl, expired_predecessor.is_some()),
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
        has_expired_predecessor: bool,
    ) {
        // A late reply from before the release: another process may hold the lease by now.
        if Some(number) <= self.released {
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
                    has_expired_predecessor,
                    stop,
                });
            }
        }
    }

    /// Stops using the lease and returns the fencing number to release in the log.
    pub fn start_release(&mut self) -> Option<FencingNumber> {
        let number = self.held.take().map(|h| h.number)?;
        self.released = Some(number);
        Some(number)
    }

    /// The fencing number if the lease is held at `now`.
    #[must_use]
    pub fn number(&self, now: Duration) -> Option<FencingNumber> {
        self.held.filter(|h| now < h.stop).map(|h| h.number)
    }

    /// Whether the lease is held at `now`.
    #[must_use]
    pub fn is_held(&self, now: Duration) -> bool {
        self.number(now).is_some()
    }

    /// Whether an order may be sent at `now` to an engine with fencing `mode`.
    #[must_use]
    pub fn can_order(&self, now: Duration, mode: FencingMode) -> bool {
        let Some(held) = self.held.filter(|h| now < h.stop) else {
            return false;
        };
        match mode {
            FencingMode::Numbers => true,
            FencingMode::Wait { order_timeout } => {
                let ends_in_time = now + order_timeout <= held.stop;
                let waited = now >= held.granted + self.wait(&held, order_timeout);
                ends_in_time && waited
            }
        }
    }

    /// When to renew: a third into the lease of duration `ttl`, so that two requests may be lost.
    #[must_use]
    pub fn renew_at(&self, ttl: Duration) -> Option<Duration> {
        self.held.map(|h| h.stop.saturating_sub(ttl * 2 / 3))
    }

    fn wait(&self, held: &Held, order_timeout: Duration) -> Duration {
        match held.has_expired_predecessor {
            true => self.drift.lengthen(order_timeout),
            false => Duration::ZERO,
        }
    }
}
