//! One member's log core and state machine: requests, messages and time in, effects out.
//!
//! A request to the leader becomes a stamped [`Command`] of the log. When the command is applied the
//! reply goes to the request by the index and term under which it was proposed; another term at that
//! index means that it was replaced and never takes effect.

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
use crate::daemon::control::packet::Answer;
use crate::daemon::control::request_table::RequestId;

/// What the replica wants done.
pub(super) enum Effect {
    /// Send a message to a member.
    Send(MemberId, Message),
    /// Write and sync.
    Persist(Persist),
    /// A request has its answer.
    Done(RequestId, Answer),
    /// Role, term or known leader changed.
    Became(RoleKind, Term, Option<MemberId>),
    /// The members changed.
    Members(Membership),
}

/// Whose reply an entry of the log carries.
enum Waiter {
    One(RequestId),
    Batch(Vec<Share>),
    Members(RequestId),
    /// Proposed by the leader for itself.
    Nobody,
}

/// One member's log core and state machine.
pub(super) struct Replica {
    core: Core,
    machine: StateMachine,
    clock: Option<LeaderClock>,
    /// Absent when the ledger's writes are not grouped.
    batcher: Option<Batcher>,
    pending: BTreeMap<LogIndex, (Term, Waiter)>,
    reads: BTreeMap<ReadId, RequestId>,
    effects: Vec<Effect>,
    applied: LogIndex,
    /// Commands applied since the process started.
    replayed: u64,
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
            replayed: 0,
        }
    }

    pub(super) fn core(&self) -> &Core {
        &self.core
    }

    pub(super) fn core_mut(&mut self) -> &mut Core {
        &mut self.core
    }

    /// The replicated state, as far as this member has applied it.
    pub(super) fn machine(&self) -> &StateMachine {
        &self.machine
    }

    /// The last entry of the log that is applied here.
    pub(super) fn applied(&self) -> u64 {
        self.applied.0
    }

    /// Commands applied since the process started.
    pub(super) fn replayed(&self) -> u64 {
        self.replayed
    }

    /// Proposes for a request; its answer comes as an effect.
    pub(super) fn propose(&mut self, now: Duration, request: RequestId, op: Op) {
        if !self.core.is_leader() {
            return self.done(request, Answer::NotLeader);
        }
        match (&mut self.batcher, op) {
            (Some(batcher), Op::Ledger(op)) => batcher.push_one(request, op),
            (Some(batcher), Op::Batch(ops)) => batcher.push_many(request, ops),
            (_, op) => return self.append(now, op, Waiter::One(request)),
        }
        self.send_batch(now);
    }

    /// Proposes on the leader's own account, if this member leads.
    pub(super) fn propose_own(&mut self, now: Duration, op: Op) {
        if self.core.is_leader() {
            self.append(now, op, Waiter::Nobody);
        }
    }

    /// Asks for an index that makes a read linearizable; the answer comes as an effect.
    pub(super) fn read(&mut self, now: Duration, request: RequestId) {
        match self.core.read(now) {
            Ok(id) => {
                self.reads.insert(id, request);
            }
            Err(_) => self.done(request, Answer::NotLeader),
        }
    }

    /// Changes the members; the answer comes as an effect.
    pub(super) fn change(&mut self, now: Duration, request: RequestId, change: &MemberChange) {
        match self.core.change_members(now, change) {
            Ok(proposal) => self.wait_for(proposal, Waiter::Members(request)),
            Err(ChangeRefused::IsLeader) => {
                // The next leader removes this member; without a successor the request times out.
                let _ = self.core.transfer(now, None);
                self.done(request, Answer::NotLeader);
            }
            Err(refused) => self.done(request, change_refused(refused)),
        }
    }

    fn send_batch(&mut self, now: Duration) {
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
            Ok(proposal) => self.wait_for(proposal, waiter),
            Err(refused) => self.refuse(waiter, &answer_of(&refused)),
        }
    }

    fn wait_for(&mut self, proposal: Proposal, waiter: Waiter) {
        let earlier = self.pending.insert(proposal.index, (proposal.term, waiter));
        if let Some((_, replaced)) = earlier {
            // This log holds another entry there now, so the earlier one can't commit any more.
            self.refuse(replaced, &Answer::NotLeader);
        }
    }

    fn refuse(&mut self, waiter: Waiter, answer: &Answer) {
        match waiter {
            Waiter::One(request) | Waiter::Members(request) => self.done(request, answer.clone()),
            Waiter::Batch(shares) => {
                self.batcher.iter_mut().for_each(Batcher::landed);
                for share in shares {
                    self.done(share.request, answer.clone());
                }
            }
            Waiter::Nobody => {}
        }
    }

    fn done(&mut self, request: RequestId, answer: Answer) {
        self.effects.push(Effect::Done(request, answer));
    }

    /// Does what is due by time and everything that follows from earlier calls.
    ///
    /// # Errors
    /// Returns an error when the state can't be applied; the daemon must stop then.
    pub(super) fn drive(&mut self, now: Duration) -> Result<Vec<Effect>, ControlError> {
        loop {
            let actions = self.core.take_actions();
            if actions.is_empty() {
                return Ok(std::mem::take(&mut self.effects));
            }
            for action in actions {
                self.act(now, action)?;
            }
            self.send_batch_if_leading(now);
        }
    }

    fn send_batch_if_leading(&mut self, now: Duration) {
        if self.core.is_leader() {
            self.send_batch(now);
        }
    }
}

fn answer_of(refused: &ProposeRefused) -> Answer {
    match refused {
        ProposeRefused::NotLeader { .. } => Answer::NotLeader,
        ProposeRefused::Busy { .. } => Answer::Proposed(Err(ProposeError::NoQuorum)),
        ProposeRefused::TooLong { .. } => Answer::Proposed(Err(ProposeError::BadCommand)),
    }
}

fn change_refused(refused: ChangeRefused) -> Answer {
    let error = match refused {
        ChangeRefused::NotLeader { .. } | ChangeRefused::IsLeader => return Answer::NotLeader,
        ChangeRefused::Unfinished => MembersError::Unfinished,
        ChangeRefused::AlreadyMember { member } => {
            MembersError::AlreadyMember { host: member.host }
        }
        // An operator admits and removes; only the leader itself promotes.
        ChangeRefused::NotCaughtUp { .. } | ChangeRefused::NotLearner { .. } => {
            MembersError::Unfinished
        }
        ChangeRefused::NotMember { member } => MembersError::NotMember { host: member.host },
        ChangeRefused::LastVoter => MembersError::LastVoter,
    };
    Answer::Members(Err(error))
}
