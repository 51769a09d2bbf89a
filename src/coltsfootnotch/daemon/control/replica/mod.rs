//! One member's consensus core and state machine. Its inputs are requests, messages and time; its
//! outputs are [`Effect`]s.
//!
//! A request to the leader becomes a timestamped [`Command`] in the log. The reply is matched to the
//! request by the index and term of the proposal; a different term at that index means that the entry
//! was replaced and never takes effect.

mod apply;

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_consensus::{
    ChangeRefused, Core, LogIndex, MemberChange, MemberId, Membership, Message, Persist, Proposal,
    ProposeRefused, ReadId, RoleKind, Term,
};
use coltsfootnotch_state::{Command, LeaderClock, Op, StateMachine};
use coltsfootnotch_wire::{MembersError, ProposeError};

use crate::daemon::control::ControlError;
use crate::daemon::control::batcher::{Batcher, Share};
use crate::daemon::control::packet::LeaderResponse;
use crate::daemon::control::request_table::RequestId;

/// An output of the replica.
pub(super) enum Effect {
    /// Send a message to a member.
    Send(MemberId, Message),
    /// Write and sync to the data folder.
    Persist(Persist),
    /// A request is completed with this response.
    Completed(RequestId, LeaderResponse),
    /// The role, term or known leader changed.
    RoleChanged(RoleKind, Term, Option<MemberId>),
    /// The members changed.
    MembersChanged(Membership),
}

/// Receiver of the reply to a log entry.
enum Waiter {
    One(RequestId),
    Batch(Vec<Share>),
    Members(RequestId),
    /// Proposed by the leader itself; the reply is dropped.
    Internal,
}

/// One member's consensus core and state machine.
pub(super) struct Replica {
    core: Core,
    machine: StateMachine,
    clock: Option<LeaderClock>,
    /// Absent if ledger writes are not batched.
    batcher: Option<Batcher>,
    pending: BTreeMap<LogIndex, (Term, Waiter)>,
    reads: BTreeMap<ReadId, RequestId>,
    effects: Vec<Effect>,
    applied: LogIndex,
    /// Commands applied since the process started.
    commands_applied: u64,
}

impl Replica {
    pub(super) fn new(core: Core, batch_ledger: bool) -> Self {
        Self {
            core,
            machine: StateMachine::default(),
            clock: None,
            batcher: batch_ledger.then(Batcher::default),
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            effects: Vec::new(),
            applied: LogIndex(0),
            commands_applied: 0,
        }
    }

    pub(super) fn core(&self) -> &Core {
        &self.core
    }

    pub(super) fn core_mut(&mut self) -> &mut Core {
        &mut self.core
    }

    /// The state machine with all entries applied by this member.
    pub(super) fn machine(&self) -> &StateMachine {
        &self.machine
    }

    /// Index of the last applied log entry.
    pub(super) fn applied(&self) -> u64 {
        self.applied.0
    }

    /// Commands applied since the process started.
    pub(super) fn commands_applied(&self) -> u64 {
        self.commands_applied
    }

    /// Proposes an operation; the response is returned as an effect.
    pub(super) fn propose(&mut self, now: Duration, request: RequestId, op: Op) {
        if !self.core.is_leader() {
            return self.emit(request, LeaderResponse::NotLeader);
        }
        match (&mut self.batcher, op) {
            (Some(batcher), Op::Ledger(op)) => batcher.push_one(request, op),
            (Some(batcher), Op::Batch(ops)) => batcher.push_many(request, ops),
            (_, op) => return self.append(now, op, Waiter::One(request)),
        }
        self.propose_batch(now);
    }

    /// Proposes an operation without a request, if this member leads.
    pub(super) fn propose_internal(&mut self, now: Duration, op: Op) {
        if self.core.is_leader() {
            self.append(now, op, Waiter::Internal);
        }
    }

    /// Requests the index for a linearizable read; the response is returned as an effect.
    pub(super) fn read(&mut self, now: Duration, request: RequestId) {
        match self.core.read(now) {
            Ok(id) => {
                self.reads.insert(id, request);
            }
            Err(_) => self.emit(request, LeaderResponse::NotLeader),
        }
    }

    /// Changes the members; the response is returned as an effect.
    pub(super) fn change(&mut self, now: Duration, request: RequestId, change: &MemberChange) {
        match self.core.change_members(now, change) {
            Ok(proposal) => self.track(proposal, Waiter::Members(request)),
            Err(ChangeRefused::IsLeader) => {
                // The next leader removes this member; without a successor the request times out.
                let _ = self.core.transfer(now, None);
                self.emit(request, LeaderResponse::NotLeader);
            }
            Err(refused) => self.emit(request, change_refused(refused)),
        }
    }

    fn propose_batch(&mut self, now: Duration) {
        let batch = self.batcher.as_mut().and_then(Batcher::next_batch);
        if let Some((shares, op)) = batch {
            self.append(now, op, Waiter::Batch(shares));
        }
    }

    fn append(&mut self, now: Duration, op: Op, waiter: Waiter) {
        let clock = self
            .clock
            .get_or_insert_with(|| LeaderClock::start(self.machine.now(), now));
        let at = clock.stamp(now);
        let command = Command { at, op }.encode();
        match self.core.propose(now, command) {
            Ok(proposal) => self.track(proposal, waiter),
            Err(refused) => self.refuse(waiter, &response_to_refusal(&refused)),
        }
    }

    fn track(&mut self, proposal: Proposal, waiter: Waiter) {
        let earlier = self.pending.insert(proposal.index, (proposal.term, waiter));
        if let Some((_, replaced)) = earlier {
            // Another entry has this index now, so the earlier proposal can't be committed.
            self.refuse(replaced, &LeaderResponse::NotLeader);
        }
    }

    fn refuse(&mut self, waiter: Waiter, response: &LeaderResponse) {
        match waiter {
            Waiter::One(request) | Waiter::Members(request) => self.emit(request, response.clone()),
            Waiter::Batch(shares) => {
                self.batcher.iter_mut().for_each(Batcher::finish_batch);
                for share in shares {
                    self.emit(share.request, response.clone());
                }
            }
            Waiter::Internal => {}
        }
    }

    fn emit(&mut self, request: RequestId, response: LeaderResponse) {
        self.effects.push(Effect::Completed(request, response));
    }

    /// Handles all pending actions of the consensus core; returns the effects.
    ///
    /// # Errors
    /// Returns an error when an entry or snapshot can't be applied; the daemon must then stop.
    pub(super) fn drive(&mut self, now: Duration) -> Result<Vec<Effect>, ControlError> {
        loop {
            let actions = self.core.take_actions();
            if actions.is_empty() {
                return Ok(std::mem::take(&mut self.effects));
            }
            for action in actions {
                self.handle_action(now, action)?;
            }
            self.propose_batch_if_leading(now);
        }
    }

    fn propose_batch_if_leading(&mut self, now: Duration) {
        if self.core.is_leader() {
            self.propose_batch(now);
        }
    }
}

fn response_to_refusal(refused: &ProposeRefused) -> LeaderResponse {
    match refused {
        ProposeRefused::NotLeader { .. } => LeaderResponse::NotLeader,
        ProposeRefused::Busy { .. } => LeaderResponse::Proposed(Err(ProposeError::NoQuorum)),
        ProposeRefused::TooLong { .. } => LeaderResponse::Proposed(Err(ProposeError::BadCommand)),
    }
}

fn change_refused(refused: ChangeRefused) -> LeaderResponse {
    let error = match refused {
        ChangeRefused::NotLeader { .. } | ChangeRefused::IsLeader => {
            return LeaderResponse::NotLeader;
        }
        ChangeRefused::Unfinished => MembersError::Unfinished,
        ChangeRefused::AlreadyMember { member } => {
            MembersError::AlreadyMember { host: member.host }
        }
        // Operators only add and remove members; only the leader promotes.
        ChangeRefused::NotCaughtUp { .. } | ChangeRefused::NotLearner { .. } => {
            MembersError::Unfinished
        }
        ChangeRefused::NotMember { member } => MembersError::NotMember { host: member.host },
        ChangeRefused::LastVoter => MembersError::LastVoter,
    };
    LeaderResponse::Members(Err(error))
}
