//! Requests, renews and releases the leases of one sidecar through the relay.
//!
//! A needed lease is requested until it is granted or held by another process, and renewed while it
//! is held. Each request has its own number, so the time to live counts from when that request was
//! sent. A release is resent until it is answered, since a lost one delays the next holder.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootnotch_state::{
    DriftBound, FencingMode, FencingNumber, Grant, LeaseHolder, LeaseReply, Op, ProcessId, Release,
    Renew, Reply,
};
use coltsfootnotch_types::LeaseName;
use coltsfootnotch_wire::ProposeError;

use crate::core::{decode_reply, encode_op};

/// Time between two requests for one lease; about the length of an election.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a request is no longer answered, since its relay is lost.
const REQUEST_TTL: Duration = Duration::from_secs(30);

/// Leases that the sidecar requests, holds or releases.
pub(super) struct LeaseSet {
    process: ProcessId,
    drift: DriftBound,
    leases: BTreeMap<LeaseName, Entry>,
    requests: HashMap<u64, Request>,
}

struct Entry {
    holder: LeaseHolder,
    ttl: Duration,
    is_needed: bool,
    /// Fencing number of a lease that is released locally, but not yet in the log.
    releasing: Option<FencingNumber>,
    requested_at: Option<Duration>,
    is_refused: bool,
}

struct Request {
    lease: LeaseName,
    sent_at: Duration,
    is_release: bool,
}

impl LeaseSet {
    /// Creates an empty set.
    pub(super) fn new(process: ProcessId, drift: DriftBound) -> Self {
        Self {
            process,
            drift,
            leases: BTreeMap::new(),
            requests: HashMap::new(),
        }
    }

    /// Starts to request a lease, and to renew it once it is granted.
    pub(super) fn request(&mut self, lease: &LeaseName, ttl: Duration) {
        let entry = self.entry(lease);
        entry.is_needed = true;
        entry.ttl = ttl;
    }

    /// Stops using a lease, and releases it in the log.
    pub(super) fn release(&mut self, lease: &LeaseName) {
        let Some(entry) = self.leases.get_mut(lease) else {
            return;
        };
        entry.is_needed = false;
        entry.is_refused = false;
        if let Some(number) = entry.holder.start_release() {
            entry.releasing = Some(number);
            entry.requested_at = None;
        }
    }

    /// Returns the fencing number of a lease while it is held.
    pub(super) fn fencing_number(&self, lease: &LeaseName, now: Duration) -> Option<FencingNumber> {
        self.leases.get(lease)?.holder.number(now)
    }

    /// Whether an order may be sent under a lease to an engine protected by `fencing_mode`.
    pub(super) fn can_order(
        &self,
        lease: &LeaseName,
        now: Duration,
        fencing_mode: FencingMode,
    ) -> bool {
        let entry = self.leases.get(lease);
        entry.is_some_and(|entry| entry.holder.can_order(now, fencing_mode))
    }

    /// Whether another process held the lease when it was last requested.
    pub(super) fn is_refused(&self, lease: &LeaseName) -> bool {
        self.leases.get(lease).is_some_and(|entry| entry.is_refused)
    }

    /// Whether any lease is released locally, but not yet in the log.
    pub(super) fn is_releasing(&self) -> bool {
        self.leases.values().any(|entry| entry.releasing.is_some())
    }

    /// Sends the requests that are due. `propose` returns the number of the request, or `None`
    /// without a relay.
    pub(super) fn tick(&mut self, now: Duration, mut propose: impl FnMut(Vec<u8>) -> Option<u64>) {
        self.requests
            .retain(|_, request| now < request.sent_at + REQUEST_TTL);
        self.remove_unneeded();
        for (lease, entry) in &mut self.leases {
            let Some(op) = entry.due_op(&self.process, lease, now) else {
                continue;
            };
            let Some(id) = propose(encode_op(&op)) else {
                return;
            };
            entry.requested_at = Some(now);
            let request = Request {
                lease: lease.clone(),
                sent_at: now,
                is_release: matches!(op, Op::Release(_)),
            };
            self.requests.insert(id, request);
        }
    }

    /// Removes leases that are neither needed nor being released. A lease with a pending request is
    /// kept: a late reply from before the release must not count as a grant to a second holder.
    fn remove_unneeded(&mut self) {
        let requests = &self.requests;
        let is_pending = |lease: &LeaseName| requests.values().any(|r| r.lease == *lease);
        self.leases.retain(|lease, entry| {
            entry.is_needed || entry.releasing.is_some() || is_pending(lease)
        });
    }

    /// Handles a reply; returns whether it answers a request of this set.
    pub(super) fn on_reply(
        &mut self,
        now: Duration,
        id: u64,
        reply: &Result<Vec<u8>, ProposeError>,
    ) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        let reply = reply
            .as_ref()
            .ok()
            .and_then(|bytes| decode_reply(bytes).ok());
        if let Some(Reply::Lease(reply)) = reply {
            self.apply_reply(now, &request, &reply);
        }
        true
    }

    fn apply_reply(&mut self, now: Duration, request: &Request, reply: &LeaseReply) {
        let entry = self.entry(&request.lease);
        if request.is_release {
            entry.releasing = None;
            entry.requested_at = None;
            return;
        }
        entry.is_refused = matches!(reply, LeaseReply::Held { .. });
        if !entry.is_refused {
            entry.requested_at = None;
        }
        entry.holder.on_reply(request.sent_at, now, reply);
        // The grant arrived after the local release, so it must be released in the log.
        if !entry.is_needed
            && let Some(number) = entry.holder.start_release()
        {
            entry.releasing = Some(number);
        }
    }

    fn entry(&mut self, lease: &LeaseName) -> &mut Entry {
        let drift = self.drift;
        let new_entry = || Entry {
            holder: LeaseHolder::new(drift),
            ttl: Duration::ZERO,
            is_needed: false,
            releasing: None,
            requested_at: None,
            is_refused: false,
        };
        self.leases.entry(lease.clone()).or_insert_with(new_entry)
    }
}

impl Entry {
    fn due_op(&self, process: &ProcessId, lease: &LeaseName, now: Duration) -> Option<Op> {
        if self
            .requested_at
            .is_some_and(|requested_at| now < requested_at + RETRY_INTERVAL)
        {
            return None;
        }
        let (lease, ttl) = (lease.clone(), self.ttl);
        if let Some(number) = self.releasing {
            return Some(Op::Release(Release { lease, number }));
        }
        if !self.is_needed {
            return None;
        }
        match self.holder.number(now) {
            Some(number) => {
                let is_due = self.holder.renew_at(ttl).is_some_and(|at| now >= at);
                is_due.then_some(Op::Renew(Renew { lease, number, ttl }))
            }
            None => Some(Op::Grant(Grant {
                lease,
                holder: process.clone(),
                ttl,
            })),
        }
    }
}
