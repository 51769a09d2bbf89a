//! Leases in the replicated state.
//!
//! A lease runs from the stamp of its command, which the leader sets after the holder has sent the
//! request. Log time never runs ahead of real time, and the holder counts from the sending and
//! stops early by the drift bound ([`crate::LeaseHolder`]). A lease that has expired in the log is
//! therefore no longer in use.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::LeaseName;

use crate::{FencingNumber, Grant, LeaseReply, LogTime, ProcessId, Release, Renew};

/// Minimum duration of a lease; shorter ones could not be renewed in time over a slow disk.
const MIN_TTL: Duration = Duration::from_secs(1);

/// Maximum duration of a lease, and so the longest wait for the lease of a lost holder.
const MAX_TTL: Duration = Duration::from_secs(600);

/// Added to each lease since stamps are truncated to milliseconds: a lease could otherwise expire a
/// fraction of a millisecond before its holder stops.
const STAMP_ROUNDING: Duration = Duration::from_millis(1);

/// The state of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The current or last holder.
    pub holder: ProcessId,
    /// The fencing number of this grant.
    pub number: FencingNumber,
    /// Log time at which it expires.
    pub expires_at: LogTime,
    /// Whether its holder released it, with no order in flight.
    pub released: bool,
    /// The fencing number of the previous grant if it expired without a release.
    pub expired_predecessor: Option<FencingNumber>,
}

impl Lease {
    /// Whether the lease is neither released nor expired at `now`.
    #[must_use]
    pub fn is_held(&self, now: LogTime) -> bool {
        !self.released && now < self.expires_at
    }

    fn granted_reply(&self, ttl: Duration) -> LeaseReply {
        LeaseReply::Granted {
            number: self.number,
            ttl,
            expired_predecessor: self.expired_predecessor,
        }
    }
}

/// All leases ever granted.
#[derive(Debug, Clone, Default)]
pub struct Leases {
    pub(crate) by_name: BTreeMap<LeaseName, Lease>,
}

impl Leases {
    /// The lease called `name`, or `None` if it was never granted.
    #[must_use]
    pub fn get(&self, name: &LeaseName) -> Option<&Lease> {
        self.by_name.get(name)
    }

    /// Whether the lease called `name` is held under `number` at `now`.
    #[must_use]
    pub fn is_current(&self, name: &LeaseName, number: FencingNumber, now: LogTime) -> bool {
        self.get(name)
            .is_some_and(|l| l.number == number && l.is_held(now))
    }

    pub(crate) fn grant(&mut self, index: u64, now: LogTime, req: &Grant) -> LeaseReply {
        if !(MIN_TTL..=MAX_TTL).contains(&req.ttl) {
            return LeaseReply::BadTtl;
        }
        let expires_at = expiry(now, req.ttl);
        let before = self.by_name.get_mut(&req.lease);
        if let Some(lease) = before
            && lease.is_held(now)
        {
            if lease.holder != req.holder {
                return LeaseReply::Held {
                    holder: lease.holder.clone(),
                    expires_at: lease.expires_at,
                };
            }
            // A resent request whose reply was lost; the expiry never moves back.
            lease.expires_at = lease.expires_at.max(expires_at);
            return lease.granted_reply(req.ttl);
        }
        self.grant_new(FencingNumber(index), now, expires_at, req)
    }

    fn grant_new(
        &mut self,
        number: FencingNumber,
        now: LogTime,
        expires_at: LogTime,
        req: &Grant,
    ) -> LeaseReply {
        let before = self.by_name.get(&req.lease);
        if let Some(lease) = before {
            assert!(
                !lease.is_held(now),
                "lease {} is still held by {} when granted to {}",
                req.lease,
                lease.holder,
                req.holder
            );
            assert!(
                lease.number < number,
                "fencing number of lease {} decreases from {} to {number}",
                req.lease,
                lease.number
            );
        }
        let expired_predecessor = before.filter(|l| !l.released).map(|l| l.number);
        let lease = Lease {
            holder: req.holder.clone(),
            number,
            expires_at,
            released: false,
            expired_predecessor,
        };
        let reply = lease.granted_reply(req.ttl);
        self.by_name.insert(req.lease.clone(), lease);
        reply
    }

    pub(crate) fn renew(&mut self, now: LogTime, req: &Renew) -> LeaseReply {
        if !(MIN_TTL..=MAX_TTL).contains(&req.ttl) {
            return LeaseReply::BadTtl;
        }
        match self.by_name.get_mut(&req.lease) {
            Some(lease) if lease.number == req.number && lease.is_held(now) => {
                lease.expires_at = lease.expires_at.max(expiry(now, req.ttl));
                lease.granted_reply(req.ttl)
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
