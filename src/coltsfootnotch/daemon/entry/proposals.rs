//! Ledger writes that this entry has proposed and that are pending.
//!
//! A relay replies to every proposal within seconds or its connection is lost. A write is therefore
//! proposed again only over another connection, after a reply without an outcome, or after a
//! timeout: earlier retries add load to a control group that is already slow. Ledger writes are
//! idempotent, so the reply to any proposal of a write is valid.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_state::{LedgerOp, LedgerReply, Op, Reply};
use coltsfootnotch_wire::ProposeError;

use crate::core::{decode_reply, encode_op};
use crate::daemon::RelayClient;

/// Time after which a write is proposed again without a quorum or over another connection. An
/// election takes several intervals.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a write is proposed again over the same connection. Exceeds the time that a
/// relay waits for a leader (1.5 s) and a commit (3 s) before it replies.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a write is abandoned and its outcome reported as unknown.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);

/// The purpose of a write, which determines how its result is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Intent,
    Close,
    CloseEarlier,
    Outcome,
    Resolve,
}

/// The ledger's reply to a write, or the error of the proposal.
pub(super) struct ProposalResult {
    pub(super) request: u64,
    pub(super) purpose: Purpose,
    pub(super) reply: Result<LedgerReply, ProposeError>,
}

struct PendingWrite {
    request: u64,
    purpose: Purpose,
    command: Vec<u8>,
    started: Duration,
    /// Time at which it is proposed again over the same connection, unless it was answered.
    retry_at: Duration,
    /// Time from which it may be proposed again over another connection.
    retry_on_new_link_at: Duration,
    link: Option<LinkId>,
    /// Ids of its proposals.
    ids: Vec<u64>,
}

/// Pending writes.
#[derive(Default)]
pub(super) struct Proposals {
    pending: BTreeMap<u64, PendingWrite>,
    /// Number of the write by proposal id.
    by_id: BTreeMap<u64, u64>,
    next: u64,
}

impl Proposals {
    /// Proposes a write. Without a connection to a relay, an intent returns `None`; any other write
    /// is kept until there is one, since it records something that has happened.
    pub(super) fn propose(
        &mut self,
        relay: &mut RelayClient,
        now: Duration,
        request: u64,
        purpose: Purpose,
        op: LedgerOp,
    ) -> Option<()> {
        let mut pending = PendingWrite {
            request,
            purpose,
            command: encode_op(&Op::Ledger(op)),
            started: now,
            retry_at: now,
            retry_on_new_link_at: now,
            link: None,
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

    fn send(
        &mut self,
        relay: &mut RelayClient,
        now: Duration,
        number: u64,
        pending: &mut PendingWrite,
    ) {
        pending.retry_at = now + REPLY_TIMEOUT;
        pending.retry_on_new_link_at = now + RETRY_INTERVAL;
        pending.link = relay.link();
        if let Some(id) = relay.propose(pending.command.clone()) {
            pending.ids.push(id);
            self.by_id.insert(id, number);
        }
    }

    /// Handles the reply to a proposal; returns the result of the write if it is final.
    pub(super) fn on_reply(
        &mut self,
        now: Duration,
        id: u64,
        reply: Result<Vec<u8>, ProposeError>,
    ) -> Option<ProposalResult> {
        let number = *self.by_id.get(&id)?;
        let pending = self.pending.get_mut(&number)?;
        let reply = match reply {
            Ok(bytes) => Ok(ledger_reply(&bytes)?),
            Err(ProposeError::Unknown) => {
                pending.retry_at = now;
                return None;
            }
            // The group may be electing a leader; all writes but intents are kept until then.
            Err(ProposeError::NoQuorum) if pending.purpose != Purpose::Intent => {
                pending.retry_at = now + RETRY_INTERVAL;
                return None;
            }
            Err(e) if pending.ids.len() == 1 => Err(e),
            // An earlier proposal of the same write may still be committed.
            Err(_) => Err(ProposeError::Unknown),
        };
        self.finish(number, reply)
    }

    /// Proposes overdue writes again, and returns those that have timed out.
    pub(super) fn tick(&mut self, relay: &mut RelayClient, now: Duration) -> Vec<ProposalResult> {
        let link = relay.link();
        let is_due = |pending: &PendingWrite| {
            let on_new_link = link.is_some() && pending.link != link;
            now >= pending.started + PROPOSAL_TIMEOUT
                || now >= pending.retry_at
                || (on_new_link && now >= pending.retry_on_new_link_at)
        };
        let overdue = self.pending.iter().filter(|(_, pending)| is_due(pending));
        let numbers: Vec<u64> = overdue.map(|(number, _)| *number).collect();
        let retry = |number| self.propose_again(relay, now, number);
        numbers.into_iter().filter_map(retry).collect()
    }

    fn propose_again(
        &mut self,
        relay: &mut RelayClient,
        now: Duration,
        number: u64,
    ) -> Option<ProposalResult> {
        if now >= self.pending.get(&number)?.started + PROPOSAL_TIMEOUT {
            return self.finish(number, Err(ProposeError::Unknown));
        }
        let mut pending = self.pending.remove(&number)?;
        self.send(relay, now, number, &mut pending);
        self.pending.insert(number, pending);
        None
    }

    fn finish(
        &mut self,
        number: u64,
        reply: Result<LedgerReply, ProposeError>,
    ) -> Option<ProposalResult> {
        let pending = self.pending.remove(&number)?;
        for id in &pending.ids {
            self.by_id.remove(id);
        }
        Some(ProposalResult {
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
