//! Pending requests to the control group, and their responses when it doesn't answer.
//!
//! While a new leader is elected, requests wait for a short time, bounded in number, instead of being
//! refused. After that they are refused as not proposed, so that a caller gets `"run":"no"` soon.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_wire::{MembersError, ProposeError};

use super::packet::{LeaderRequest, LeaderResponse};

/// How long a request waits for a leader. An election takes up to a second; a caller that can't be served
/// needs its refusal in time to try another host.
const WAIT_FOR_LEADER: Duration = Duration::from_millis(1_500);
/// How long the leader may take before the outcome of a request counts as unknown.
const WAIT_FOR_COMMIT: Duration = Duration::from_secs(3);
/// How long an unnumbered request is held before it is passed on. What a process finds in its sockets after
/// a pause may be from callers that have left, which shows within this time.
const CALLER_CHECK: Duration = Duration::from_millis(50);
/// Most open requests; further ones are refused at once, which bounds memory.
const MAX_OPEN: usize = 16_384;

/// Number of a request, unique within a run of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Origin of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A proposal of a host or an operator.
    Propose(LinkId, u64),
    /// A query of a host or an operator for the newest configuration.
    Confirm(LinkId, u64),
    /// A membership change by an operator.
    Members(LinkId, u64),
    /// A request forwarded by another member, which takes this one for the leader.
    Member(LinkId, u64),
    /// An HTTP call of an operator.
    Call(u64),
    /// Queries of forwarding entries whether their configuration is the newest.
    Leases,
}

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// Waits for a known leader.
    Waiting,
    /// In progress at this member, which leads.
    Local,
    /// Forwarded to the leader over this connection.
    Forwarded(LinkId),
    /// Waits until this member has applied this index.
    Applying(u64),
}

/// A pending request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its origin.
    pub origin: Origin,
    /// The request to the leader.
    pub body: LeaderRequest,
    state: RequestState,
    opened: Duration,
    /// Until when it is held.
    held_until: Duration,
    deadline: Duration,
}

/// The open requests.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch::daemon::control::packet::LeaderRequest;
/// use coltsfootnotch::daemon::control::request_table::{Origin, RequestTable};
/// use coltsfootnotch_fabric::LinkId;
/// let mut table = RequestTable::default();
/// table.open(Duration::ZERO, Origin::Confirm(LinkId(1), 7), LeaderRequest::Read).unwrap();
/// assert_eq!(table.expire(Duration::from_secs(1)), []);
/// assert_eq!(table.expire(Duration::from_secs(2)).len(), 1, "no leader was known in time");
/// ```
#[derive(Debug, Default)]
pub struct RequestTable {
    last: u64,
    open: BTreeMap<RequestId, Request>,
    /// Requests that wait for a leader. This and `applying` are indexes into `open`, which may have
    /// thousands of entries and is not scanned on every input.
    waiting: BTreeSet<RequestId>,
    /// Requests that wait until an index is applied, lowest first.
    applying: BTreeSet<(u64, RequestId)>,
}

impl RequestTable {
    /// Opens a request, which first waits for a leader.
    ///
    /// # Errors
    /// Returns the response to send at once when too many requests are open.
    pub fn open(
        &mut self,
        now: Duration,
        origin: Origin,
        body: LeaderRequest,
    ) -> Result<RequestId, LeaderResponse> {
        if self.open.len() >= MAX_OPEN {
            return Err(failure_response(&body, RequestState::Waiting));
        }
        self.last += 1;
        let id = RequestId(self.last);
        // The member that passes a request on has held it.
        let is_held = body.is_unnumbered() && !matches!(origin, Origin::Member(..));
        let request = Request {
            origin,
            body,
            state: RequestState::Waiting,
            opened: now,
            held_until: if is_held { now + CALLER_CHECK } else { now },
            deadline: now + WAIT_FOR_LEADER,
        };
        self.open.insert(id, request);
        self.waiting.insert(id);
        Ok(id)
    }

    /// The request, if it is open.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.open.get(&id)
    }

    /// Until when the request is held, if it is.
    #[must_use]
    pub fn held_until(&self, now: Duration, id: RequestId) -> Option<Duration> {
        let held_until = self.get(id)?.held_until;
        (now < held_until).then_some(held_until)
    }

    /// Changes the state of a request. Returning to `Waiting` doesn't extend its deadline.
    pub fn set_state(&mut self, now: Duration, id: RequestId, state: RequestState) {
        let Some(request) = self.open.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(&mut request.state, state);
        request.deadline = match state {
            RequestState::Waiting => request.opened + WAIT_FOR_LEADER,
            RequestState::Local | RequestState::Forwarded(_) | RequestState::Applying(_) => {
                now + WAIT_FOR_COMMIT
            }
        };
        self.unindex(id, previous);
        match state {
            RequestState::Waiting => {
                self.waiting.insert(id);
            }
            RequestState::Applying(index) => {
                self.applying.insert((index, id));
            }
            RequestState::Local | RequestState::Forwarded(_) => {}
        }
    }

    fn unindex(&mut self, id: RequestId, state: RequestState) {
        match state {
            RequestState::Waiting => {
                self.waiting.remove(&id);
            }
            RequestState::Applying(index) => {
                self.applying.remove(&(index, id));
            }
            RequestState::Local | RequestState::Forwarded(_) => {}
        }
    }

    /// Removes a request.
    pub fn close(&mut self, id: RequestId) -> Option<Request> {
        let request = self.open.remove(&id)?;
        self.unindex(id, request.state);
        Some(request)
    }

    /// Requests that wait for a leader.
    #[must_use]
    pub fn waiting(&self) -> Vec<RequestId> {
        self.waiting.iter().copied().collect()
    }

    /// Whether a request was forwarded over this connection and has no response yet.
    #[must_use]
    pub fn is_forwarded_over(&self, link: LinkId, id: RequestId) -> bool {
        self.get(id)
            .is_some_and(|r| r.state == RequestState::Forwarded(link))
    }

    /// Requests forwarded over a connection, which get no response after it closes.
    #[must_use]
    pub fn forwarded_over(&self, link: LinkId) -> Vec<RequestId> {
        let sent = self
            .open
            .iter()
            .filter(|(_, r)| r.state == RequestState::Forwarded(link));
        sent.map(|(id, _)| *id).collect()
    }

    /// Reads whose index has been applied.
    #[must_use]
    pub fn applied(&self, index: u64) -> Vec<RequestId> {
        let applied = self
            .applying
            .iter()
            .take_while(|(required, _)| *required <= index);
        applied.map(|(_, id)| *id).collect()
    }

    /// Removes the requests whose deadline has passed, and returns them with their responses.
    pub fn expire(&mut self, now: Duration) -> Vec<(Request, LeaderResponse)> {
        let expired = self.open.iter().filter(|(_, r)| now >= r.deadline);
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        expired
            .into_iter()
            .filter_map(|id| self.abort(id))
            .collect()
    }

    /// Removes a request that can't get a response from the leader any more.
    pub fn abort(&mut self, id: RequestId) -> Option<(Request, LeaderResponse)> {
        let request = self.close(id)?;
        let response = failure_response(&request.body, request.state);
        Some((request, response))
    }

    /// Number of open requests.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }
}

/// The response to a request that got none from the leader: a waiting request was not proposed, one in
/// progress has an unknown outcome.
fn failure_response(body: &LeaderRequest, state: RequestState) -> LeaderResponse {
    let is_in_progress = matches!(state, RequestState::Local | RequestState::Forwarded(_));
    match body {
        LeaderRequest::Propose(_) | LeaderRequest::Evacuate(_) if is_in_progress => {
            LeaderResponse::Proposed(Err(ProposeError::Unknown))
        }
        LeaderRequest::Propose(_) | LeaderRequest::Evacuate(_) => {
            LeaderResponse::Proposed(Err(ProposeError::NoQuorum))
        }
        LeaderRequest::Read => LeaderResponse::NotLeader,
        LeaderRequest::Admit { .. } | LeaderRequest::Remove { .. } if is_in_progress => {
            LeaderResponse::Members(Err(MembersError::Unknown))
        }
        LeaderRequest::Admit { .. } | LeaderRequest::Remove { .. } => {
            LeaderResponse::Members(Err(MembersError::NoQuorum))
        }
    }
}
