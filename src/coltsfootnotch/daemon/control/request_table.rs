//! Requests that wait for the control group, and what they are told when it gives no answer.
//!
//! Load pattern answered: the leader is lost, and everything that hosts propose meanwhile would be
//! refused though a new leader is there within a second. Requests wait that long, bounded in number,
//! and are then refused as not proposed, so that a caller hears `"run":"no"` soon.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_wire::{MembersError, ProposeError};

use super::packet::{Answer, Ask};

/// How long a request waits for a leader: elections end within a second, and a caller that can't be
/// served must hear of it while it can still turn elsewhere.
const WAIT_FOR_LEADER: Duration = Duration::from_millis(1_500);
/// How long a request may be under way at the leader before it counts as unknown.
const WAIT_FOR_COMMIT: Duration = Duration::from_secs(3);
/// Requests open at once; a burst beyond that is refused at once and bounded in memory.
const MAX_OPEN: usize = 16_384;

/// Number of a request within this run of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Who asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A host or an operator proposed.
    Propose(LinkId, u64),
    /// A host or an operator asked for the newest configuration.
    Confirm(LinkId, u64),
    /// An operator changes the members.
    Members(LinkId, u64),
    /// Another member, which knows this one as the leader.
    Member(LinkId, u64),
    /// An operator called over HTTP.
    Call(u64),
    /// Forwarding entries ask whether their configuration is the newest.
    Leases,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Waits for a leader to be known.
    Waiting,
    /// With this member, which leads.
    Here,
    /// Sent to the leader over this connection.
    Sent(LinkId),
    /// Waits until this member has applied the index.
    Applying(u64),
}

/// One request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Who asked.
    pub origin: Origin,
    /// What for.
    pub ask: Ask,
    place: Place,
    opened: Duration,
    deadline: Duration,
}

/// The requests that are open.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch::daemon::control::packet::Ask;
/// use coltsfootnotch::daemon::control::request_table::{Origin, RequestTable};
/// use coltsfootnotch_fabric::LinkId;
/// let mut table = RequestTable::default();
/// table.open(Duration::ZERO, Origin::Confirm(LinkId(1), 7), Ask::Read).unwrap();
/// assert_eq!(table.expire(Duration::from_secs(1)), []);
/// assert_eq!(table.expire(Duration::from_secs(2)).len(), 1, "no leader was found in time");
/// ```
#[derive(Debug, Default)]
pub struct RequestTable {
    last: u64,
    open: BTreeMap<RequestId, Request>,
    /// Those that wait for a leader. It and `applying` are looked at with every input, when thousands
    /// may be open.
    waiting: BTreeSet<RequestId>,
    /// Those that wait until an index is applied, lowest first.
    applying: BTreeSet<(u64, RequestId)>,
}

impl RequestTable {
    /// Opens a request, which waits for a leader at first.
    ///
    /// # Errors
    /// Returns the answer to give at once when too many are open.
    pub fn open(&mut self, now: Duration, origin: Origin, ask: Ask) -> Result<RequestId, Answer> {
        if self.open.len() >= MAX_OPEN {
            return Err(refusal(&ask, Place::Waiting));
        }
        self.last += 1;
        let id = RequestId(self.last);
        let request = Request {
            origin,
            ask,
            place: Place::Waiting,
            opened: now,
            deadline: now + WAIT_FOR_LEADER,
        };
        self.open.insert(id, request);
        self.waiting.insert(id);
        Ok(id)
    }

    /// The request, while it is open.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.open.get(&id)
    }

    /// Moves a request. One that goes back to waiting does not get more time for it.
    pub fn put(&mut self, now: Duration, id: RequestId, place: Place) {
        let Some(request) = self.open.get_mut(&id) else {
            return;
        };
        let left = std::mem::replace(&mut request.place, place);
        request.deadline = match place {
            Place::Waiting => request.opened + WAIT_FOR_LEADER,
            Place::Here | Place::Sent(_) | Place::Applying(_) => now + WAIT_FOR_COMMIT,
        };
        self.leave(id, left);
        match place {
            Place::Waiting => {
                self.waiting.insert(id);
            }
            Place::Applying(index) => {
                self.applying.insert((index, id));
            }
            Place::Here | Place::Sent(_) => {}
        }
    }

    fn leave(&mut self, id: RequestId, place: Place) {
        match place {
            Place::Waiting => {
                self.waiting.remove(&id);
            }
            Place::Applying(index) => {
                self.applying.remove(&(index, id));
            }
            Place::Here | Place::Sent(_) => {}
        }
    }

    /// Ends a request.
    pub fn close(&mut self, id: RequestId) -> Option<Request> {
        let request = self.open.remove(&id)?;
        self.leave(id, request.place);
        Some(request)
    }

    /// Requests that wait for a leader.
    #[must_use]
    pub fn waiting(&self) -> Vec<RequestId> {
        self.waiting.iter().copied().collect()
    }

    /// Whether a request was sent over a connection and not answered yet.
    #[must_use]
    pub fn is_sent_over(&self, link: LinkId, id: RequestId) -> bool {
        self.get(id).is_some_and(|r| r.place == Place::Sent(link))
    }

    /// Requests sent over a connection, whose answers can't come any more once it is gone.
    #[must_use]
    pub fn sent_over(&self, link: LinkId) -> Vec<RequestId> {
        let sent = self
            .open
            .iter()
            .filter(|(_, r)| r.place == Place::Sent(link));
        sent.map(|(id, _)| *id).collect()
    }

    /// Reads whose state has been applied.
    #[must_use]
    pub fn applied(&self, index: u64) -> Vec<RequestId> {
        let applied = self
            .applying
            .iter()
            .take_while(|(wanted, _)| *wanted <= index);
        applied.map(|(_, id)| *id).collect()
    }

    /// Ends the requests whose time is over, each with its last answer.
    pub fn expire(&mut self, now: Duration) -> Vec<(Request, Answer)> {
        let late = self.open.iter().filter(|(_, r)| now >= r.deadline);
        let late: Vec<_> = late.map(|(id, _)| *id).collect();
        late.into_iter().filter_map(|id| self.lose(id)).collect()
    }

    /// Ends a request whose answer can't come any more.
    pub fn lose(&mut self, id: RequestId) -> Option<(Request, Answer)> {
        let request = self.close(id)?;
        let answer = refusal(&request.ask, request.place);
        Some((request, answer))
    }

    /// How many are open.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }
}

/// What is certain about a request that gets no answer: one that waited was not proposed, one that
/// was under way may still take effect.
fn refusal(ask: &Ask, place: Place) -> Answer {
    let is_under_way = matches!(place, Place::Here | Place::Sent(_));
    match ask {
        Ask::Propose(_) if is_under_way => Answer::Proposed(Err(ProposeError::Unknown)),
        Ask::Propose(_) => Answer::Proposed(Err(ProposeError::NoQuorum)),
        Ask::Read => Answer::NotLeader,
        Ask::Admit { .. } | Ask::Remove { .. } if is_under_way => {
            Answer::Members(Err(MembersError::Unknown))
        }
        Ask::Admit { .. } | Ask::Remove { .. } => Answer::Members(Err(MembersError::NoQuorum)),
    }
}
