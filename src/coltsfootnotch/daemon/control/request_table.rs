//! Requests that wait for the control group, and what they are told when it gives no answer.
//!
//! Load pattern answered: the leader is lost, and everything that hosts propose meanwhile would be
//! refused though a new leader is there within a second. Requests wait that long, bounded in number,
//! and are then refused as not proposed, so that a caller hears `"run":"no"` soon.

use std::collections::BTreeMap;
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
        request.place = place;
        request.deadline = match place {
            Place::Waiting => request.opened + WAIT_FOR_LEADER,
            Place::Here | Place::Sent(_) | Place::Applying(_) => now + WAIT_FOR_COMMIT,
        };
    }

    /// Ends a request.
    pub fn close(&mut self, id: RequestId) -> Option<Request> {
        self.open.remove(&id)
    }

    /// Requests that wait for a leader.
    pub fn waiting(&self) -> Vec<RequestId> {
        self.ids(|place| place == Place::Waiting)
    }

    /// Requests sent over a connection, whose answers can't come any more once it is gone.
    pub fn sent_over(&self, link: LinkId) -> Vec<RequestId> {
        self.ids(|place| place == Place::Sent(link))
    }

    /// Reads whose state has been applied.
    pub fn applied(&self, index: u64) -> Vec<RequestId> {
        self.ids(|place| matches!(place, Place::Applying(wanted) if wanted <= index))
    }

    fn ids(&self, wanted: impl Fn(Place) -> bool) -> Vec<RequestId> {
        let matching = self.open.iter().filter(|(_, r)| wanted(r.place));
        matching.map(|(id, _)| *id).collect()
    }

    /// Ends the requests whose time is over, each with its last answer.
    pub fn expire(&mut self, now: Duration) -> Vec<(Request, Answer)> {
        let late = self
            .open
            .extract_if(.., |_, request| now >= request.deadline);
        late.map(|(_, request)| {
            let answer = refusal(&request.ask, request.place);
            (request, answer)
        })
        .collect()
    }

    /// Ends a request whose answer can't come any more.
    pub fn lose(&mut self, id: RequestId) -> Option<(Request, Answer)> {
        let request = self.open.remove(&id)?;
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
