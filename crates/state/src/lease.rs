//! Leases in the replicated state.
//!
//! A lease is granted for a time counted from the stamp of its command, which the leader makes after
//! the holder has sent its request. Log time never runs ahead of real time, so by the time that the
//! log says a lease has expired, its holder, which counts from the sending and stops early by the
//! drift bound ([`crate::LeaseHolder`]), has stopped.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::LeaseName;

use crate::{FencingNumber, Grant, LeaseReply, LogTime, ProcessId, Release, Renew};

/// Shortest lease: below this, renewals over a slow disk would be late.
const MIN_TTL: Duration = Duration::from_secs(1);

/// Longest lease: what is waited for after its holder was lost.
const MAX_TTL: Duration = Duration::from_secs(600);

/// A stamp is cut to whole milliseconds, so the lease may really have begun up to this much after its
/// stamp. Without it the expiry came a fraction of a millisecond before the holder stopped.
const STAMP_ROUNDING: Duration = Duration::from_millis(1);

/// Where a lease stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Who holds it, or held it last.
    pub holder: ProcessId,
    /// Under which number.
    pub number: FencingNumber,
    /// When it expires.
    pub until: LogTime,
    /// Whether its holder gave it back with no order in flight.
    pub released: bool,
    /// The number before, when that lease expired without having been released.
    pub after_expired: Option<FencingNumber>,
}

impl Lease {
    /// Whether the holder may still believe that it holds the lease at `now`.
    #[must_use]
    pub fn is_held(&self, now: LogTime) -> bool {
        !self.released && now < self.until
    }

    fn granted(&self, ttl: Duration) -> LeaseReply {
        LeaseReply::Granted {
            number: self.number,
            ttl,
            after_expired: self.after_expired,
        }
    }
}

/// Every lease that was ever granted.
#[derive(Debug, Clone, Default)]
pub struct Leases {
    pub(crate) by_name: BTreeMap<LeaseName, Lease>,
}

impl Leases {
    /// The lease, if it was ever granted.
    #[must_use]
    pub fn get(&self, name: &LeaseName) -> Option<&Lease> {
        self.by_name.get(name)
    }

    /// Whether `number` is that of the present holder of `name` at `now`.
    #[must_use]
    pub fn is_current(&self, name: &LeaseName, number: FencingNumber, now: LogTime) -> bool {
        self.get(name)
            .is_some_and(|l| l.number == number && l.is_held(now))
    }

    pub(crate) fn grant(&mut self, index: u64, now: LogTime, req: &Grant) -> LeaseReply {
        if !(MIN_TTL..=MAX_TTL).contains(&req.ttl) {
            return LeaseReply::BadTtl;
        }
        let until = expiry(now, req.ttl);
        let before = self.by_name.get_mut(&req.lease);
        if let Some(lease) = before
            && lease.is_held(now)
        {
            if lease.holder != req.holder {
                return LeaseReply::Held {
                    holder: lease.holder.clone(),
                    until: lease.until,
                };
            }
            // The holder asks again because the answer was lost; the expiry never moves back.
            lease.until = lease.until.max(until);
            return lease.granted(req.ttl);
        }
        self.hand_over(FencingNumber(index), now, until, req)
    }

    fn hand_over(
        &mut self,
        number: FencingNumber,
        now: LogTime,
        until: LogTime,
        req: &Grant,
    ) -> LeaseReply {
        let before = self.by_name.get(&req.lease);
        if let Some(lease) = before {
            assert!(
                !lease.is_held(now),
                "lease {} has two holders, {} and {}",
                req.lease,
                lease.holder,
                req.holder
            );
            assert!(
                lease.number < number,
                "lease {} goes back from number {} to {number}",
                req.lease,
                lease.number
            );
        }
        let after_expired = before.filter(|l| !l.released).map(|l| l.number);
        let lease = Lease {
            holder: req.holder.clone(),
            number,
            until,
            released: false,
            after_expired,
        };
        let reply = lease.granted(req.ttl);
        self.by_name.insert(req.lease.clone(), lease);
        reply
    }

    pub(crate) fn renew(&mut self, now: LogTime, req: &Renew) -> LeaseReply {
        if !(MIN_TTL..=MAX_TTL).contains(&req.ttl) {
            return LeaseReply::BadTtl;
        }
        match self.by_name.get_mut(&req.lease) {
            Some(lease) if lease.number == req.number && lease.is_held(now) => {
                lease.until = lease.until.max(expiry(now, req.ttl));
                lease.granted(req.ttl)
            }
            _ => LeaseReply::Lost,
        }
    }

    pub(crate) fn release(&mut self, req: &Release) -> LeaseReply {
        match self.by_name.get_mut(&req.lease) {
            Some(lease) if lease.number == req.number => {
                lease.released = true;
                LeaseReply::Released
            }
            _ => LeaseReply::Lost,
        }
    }
}

fn expiry(now: LogTime, ttl: Duration) -> LogTime {
    now.after(ttl + STAMP_ROUNDING)
}
