//! Writes of the ledger that this entry has proposed, and their answers.
//!
//! A relay answers every proposal within some seconds, or its connection is lost. So a write is only
//! proposed again over another connection, or when its answer says that its outcome is not known. To
//! propose it again just because the answer is slow would double the load of a group that is slow
//! already. The ledger gives the same answer to the same write, so the answer to any of its proposals
//! is good.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_state::{LedgerOp, LedgerReply, Op, Reply};
use coltsfootnotch_wire::ProposeError;

use crate::core::{decode_reply, encode_op};
use crate::daemon::RelayClient;

/// Time after which a write is proposed again when its outcome is not known, or over another
/// connection: elections take a few of these.
const PROPOSE_AGAIN: Duration = Duration::from_millis(500);
/// Time after which it is proposed again over the same connection. A relay waits 1.5 s for a leader
/// and 3 s for a commit, and then answers; later than that, the answer was lost.
const ANSWER_LOST: Duration = Duration::from_secs(5);
/// Time after which a proposal is given up.
const GIVE_UP: Duration = Duration::from_secs(10);

/// What a write is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Intent,
    Close,
    CloseEarlier,
    Outcome,
    Settle,
}

/// The ledger's answer to a write, or why it is not known.
pub(super) struct Answered {
    pub(super) request: u64,
    pub(super) purpose: Purpose,
    pub(super) reply: Result<LedgerReply, ProposeError>,
}

struct Pending {
    request: u64,
    purpose: Purpose,
    command: Vec<u8>,
    begun: Duration,
    /// When it is proposed again over the same connection, if it is not answered.
    due: Duration,
    /// When it may be proposed again over another connection.
    due_elsewhere: Duration,
    over: Option<LinkId>,
    /// The numbers under which it was proposed.
    ids: Vec<u64>,
}

/// Writes without an answer.
#[derive(Default)]
pub(super) struct Proposals {
    pending: BTreeMap<u64, Pending>,
    /// The write that a number stands for.
    by_id: BTreeMap<u64, u64>,
    next: u64,
}

impl Proposals {
    /// Proposes a write. Without a connection to a relay an intent is not taken; anything else is
    /// proposed once there is one, since what it records has happened.
    pub(super) fn propose(
        &mut self,
        relay: &mut RelayClient,
        now: Duration,
        request: u64,
        purpose: Purpose,
        op: LedgerOp,
    ) -> Option<()> {
        let mut pending = Pending {
            request,
            purpose,
            command: encode_op(&Op::Ledger(op)),
            begun: now,
            due: now,
            due_elsewhere: now,
            over: None,
            ids: vec![],
        };
        let number = self.next;
        self.send(relay, now, number, &mut pending);
        if pending.ids.is_empty() && purpose == Purpose::Intent {
            return None;
        }
        self.next += 1;
        self.pending.insert(number, pending);
        Some(())
    }

    fn send(&mut self, relay: &mut RelayClient, now: Duration, number: u64, pending: &mut Pending) {
        pending.due = now + ANSWER_LOST;
        pending.due_elsewhere = now + PROPOSE_AGAIN;
        pending.over = relay.link();
        if let Some(id) = relay.propose(pending.command.clone()) {
            pending.ids.push(id);
            self.by_id.insert(id, number);
        }
    }

    /// Takes in an answer.
    pub(super) fn answered(
        &mut self,
        now: Duration,
        id: u64,
        reply: Result<Vec<u8>, ProposeError>,
    ) -> Option<Answered> {
        let number = *self.by_id.get(&id)?;
        let pending = self.pending.get_mut(&number)?;
        let reply = match reply {
            Ok(bytes) => Ok(ledger_reply(&bytes)?),
            Err(ProposeError::Unknown) => {
                pending.due = now;
                return None;
            }
            // The group may be electing a leader; what has happened is worth recording until then.
            Err(ProposeError::NoQuorum) if pending.purpose != Purpose::Intent => {
                pending.due = now + PROPOSE_AGAIN;
                return None;
            }
            Err(e) if pending.ids.len() == 1 => Err(e),
            // An earlier proposal of the same write may still be committed.
            Err(_) => Err(ProposeError::Unknown),
        };
        self.end(number, reply)
    }

    /// Proposes unanswered writes again, and gives up old ones.
    pub(super) fn tick(&mut self, relay: &mut RelayClient, now: Duration) -> Vec<Answered> {
        let link = relay.link();
        let is_due = |pending: &Pending| {
            let elsewhere = link.is_some() && pending.over != link;
            now >= pending.begun + GIVE_UP
                || now >= pending.due
                || (elsewhere && now >= pending.due_elsewhere)
        };
        let due = self.pending.iter().filter(|(_, pending)| is_due(pending));
        let numbers: Vec<u64> = due.map(|(number, _)| *number).collect();
        let again = |number| self.again(relay, now, number);
        numbers.into_iter().filter_map(again).collect()
    }

    fn again(&mut self, relay: &mut RelayClient, now: Duration, number: u64) -> Option<Answered> {
        if now >= self.pending.get(&number)?.begun + GIVE_UP {
            return self.end(number, Err(ProposeError::Unknown));
        }
        let mut pending = self.pending.remove(&number)?;
        self.send(relay, now, number, &mut pending);
        self.pending.insert(number, pending);
        None
    }

    fn end(&mut self, number: u64, reply: Result<LedgerReply, ProposeError>) -> Option<Answered> {
        let pending = self.pending.remove(&number)?;
        for id in &pending.ids {
            self.by_id.remove(id);
        }
        Some(Answered {
            request: pending.request,
            purpose: pending.purpose,
            reply,
        })
    }
}

fn ledger_reply(bytes: &[u8]) -> Option<LedgerReply> {
    match decode_reply(bytes).ok()? {
        Reply::Ledger(reply) => Some(reply),
        _ => None,
    }
}
