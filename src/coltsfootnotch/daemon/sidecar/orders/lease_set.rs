//! The leases of one sidecar: asked for, renewed and given back through the relay.
//!
//! A lease that is wanted is asked for until it is granted or someone else holds it, and renewed while
//! it is held. Each request has a number of its own, so a reply counts from the time at which its own
//! request was sent. A release is sent until it is answered: one that was lost would keep the next
//! holder out for the whole time of the lease.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootnotch_state::{
    DriftBound, FencingMode, FencingNumber, Grant, LeaseHolder, LeaseReply, Op, ProcessId, Release,
    Renew, Reply,
};
use coltsfootnotch_types::LeaseName;
use coltsfootnotch_wire::ProposeError;

use crate::core::{decode_reply, encode_op};

/// Time between two requests for one lease; an election takes about as long.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// Requests older than this get no reply any more: their relay is gone.
const FORGET_REQUEST: Duration = Duration::from_secs(30);

/// Leases that the sidecar wants, holds or gives back.
pub(super) struct LeaseSet {
    me: ProcessId,
    drift: DriftBound,
    leases: BTreeMap<LeaseName, Entry>,
    requests: HashMap<u64, Request>,
}

struct Entry {
    holder: LeaseHolder,
    ttl: Duration,
    is_wanted: bool,
    /// Given up here, and not yet known to be released in the log.
    releasing: Option<FencingNumber>,
    asked: Option<Duration>,
    is_refused: bool,
}

struct Request {
    lease: LeaseName,
    sent: Duration,
    is_release: bool,
}

impl LeaseSet {
    /// Without any lease.
    pub(super) fn new(me: ProcessId, drift: DriftBound) -> Self {
        Self {
            me,
            drift,
            leases: BTreeMap::new(),
            requests: HashMap::new(),
        }
    }

    /// Asks for a lease from now on.
    pub(super) fn want(&mut self, lease: &LeaseName, ttl: Duration) {
        let entry = self.entry(lease);
        entry.is_wanted = true;
        entry.ttl = ttl;
    }

    /// Gives a lease up, and releases it in the log.
    pub(super) fn give_up(&mut self, lease: &LeaseName) {
        let Some(entry) = self.leases.get_mut(lease) else {
            return;
        };
        entry.is_wanted = false;
        entry.is_refused = false;
        if let Some(number) = entry.holder.start_release() {
            entry.releasing = Some(number);
            entry.asked = None;
        }
    }

    /// The fencing number of a lease, while it is held.
    pub(super) fn number(&self, lease: &LeaseName, now: Duration) -> Option<FencingNumber> {
        self.leases.get(lease)?.holder.number(now)
    }

    /// Whether an order may be sent under a lease to an engine protected by `guard`.
    pub(super) fn may_order(&self, lease: &LeaseName, now: Duration, guard: FencingMode) -> bool {
        let entry = self.leases.get(lease);
        entry.is_some_and(|entry| entry.holder.can_order(now, guard))
    }

    /// Whether someone else was said to hold a lease when it was last asked for.
    pub(super) fn is_refused(&self, lease: &LeaseName) -> bool {
        self.leases.get(lease).is_some_and(|entry| entry.is_refused)
    }

    /// Whether a lease is given up here and not yet known to be released in the log.
    pub(super) fn is_releasing(&self) -> bool {
        self.leases.values().any(|entry| entry.releasing.is_some())
    }

    /// Sends what is due; `propose` returns the number of the request, or none without a relay.
    pub(super) fn tick(&mut self, now: Duration, mut propose: impl FnMut(Vec<u8>) -> Option<u64>) {
        self.requests
            .retain(|_, request| now < request.sent + FORGET_REQUEST);
        self.forget_unwanted();
        for (lease, entry) in &mut self.leases {
            let Some(op) = entry.due(&self.me, lease, now) else {
                continue;
            };
            let Some(id) = propose(encode_op(&op)) else {
                return;
            };
            entry.asked = Some(now);
            let request = Request {
                lease: lease.clone(),
                sent: now,
                is_release: matches!(op, Op::Release(_)),
            };
            self.requests.insert(id, request);
        }
    }

    /// Forgets leases that are neither wanted nor under way. One with a request under way is kept: a
    /// late answer from before the release would else look like a grant, and two would hold it.
    fn forget_unwanted(&mut self) {
        let requests = &self.requests;
        let is_under_way = |lease: &LeaseName| requests.values().any(|r| r.lease == *lease);
        self.leases.retain(|lease, entry| {
            entry.is_wanted || entry.releasing.is_some() || is_under_way(lease)
        });
    }

    /// Takes in the answer to a request; whether it was one of these.
    pub(super) fn answered(
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
            self.take_reply(now, &request, &reply);
        }
        true
    }

    fn take_reply(&mut self, now: Duration, request: &Request, reply: &LeaseReply) {
        let entry = self.entry(&request.lease);
        if request.is_release {
            entry.releasing = None;
            entry.asked = None;
            return;
        }
        entry.is_refused = matches!(reply, LeaseReply::Held { .. });
        if !entry.is_refused {
            entry.asked = None;
        }
        entry.holder.on_reply(request.sent, now, reply);
        // It was granted after it had been given up: unreleased it would keep others out.
        if !entry.is_wanted
            && let Some(number) = entry.holder.start_release()
        {
            entry.releasing = Some(number);
        }
    }

    fn entry(&mut self, lease: &LeaseName) -> &mut Entry {
        let drift = self.drift;
        let unheld = || Entry {
            holder: LeaseHolder::new(drift),
            ttl: Duration::ZERO,
            is_wanted: false,
            releasing: None,
            asked: None,
            is_refused: false,
        };
        self.leases.entry(lease.clone()).or_insert_with(unheld)
    }
}

impl Entry {
    fn due(&self, me: &ProcessId, lease: &LeaseName, now: Duration) -> Option<Op> {
        if self.asked.is_some_and(|asked| now < asked + ASK_AGAIN) {
            return None;
        }
        let (lease, ttl) = (lease.clone(), self.ttl);
        if let Some(number) = self.releasing {
            return Some(Op::Release(Release { lease, number }));
        }
        if !self.is_wanted {
            return None;
        }
        match self.holder.number(now) {
            Some(number) => {
                let is_due = self.holder.renew_at(ttl).is_some_and(|at| now >= at);
                is_due.then_some(Op::Renew(Renew { lease, number, ttl }))
            }
            None => Some(Op::Grant(Grant {
                lease,
                holder: me.clone(),
                ttl,
            })),
        }
    }
}
