//! What the log core wants done: applying what is committed, and answering for it.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_consensus::{Action, LogIndex, MemberId, ReadId, RoleKind, Snapshot, Term};
use coltsfootnotch_state::{Command, Reply, StateMachine};
use coltsfootnotch_wire::{MembersError, ProposeError};

use super::{Effect, Replica, Waiter};
use crate::core::encode_reply;
use crate::daemon::control::ControlError;
use crate::daemon::control::batcher::{Batcher, split};
use crate::daemon::control::packet::Answer;
use crate::daemon::control::request_table::RequestId;

impl Replica {
    pub(super) fn act(&mut self, now: Duration, action: Action) -> Result<(), ControlError> {
        match action {
            Action::Send { to, msg } => self.effects.push(Effect::Send(to, msg)),
            Action::Persist(persist) => self.effects.push(Effect::Persist(persist)),
            Action::Apply { index, term, data } => self.apply(index, term, data)?,
            Action::ReadReady { id, index } => self.read_done(id, Answer::Read(index.0)),
            Action::ReadFailed { id, .. } => self.read_done(id, Answer::NotLeader),
            Action::TakeSnapshot { index } => {
                assert_eq!(index, self.applied, "a snapshot is of what was applied");
                let data = self.machine.snapshot();
                self.core.snapshot_taken(now, index, data);
            }
            Action::InstallSnapshot(snapshot) => self.install(&snapshot)?,
            Action::RoleChanged { role, term, leader } => self.became(role, term, leader),
            Action::MembersChanged { members } => self.effects.push(Effect::Members(members)),
        }
        Ok(())
    }

    fn read_done(&mut self, id: ReadId, answer: Answer) {
        if let Some(request) = self.reads.remove(&id) {
            self.done(request, answer);
        }
    }

    fn became(&mut self, role: RoleKind, term: Term, leader: Option<MemberId>) {
        self.clock = None;
        if role != RoleKind::Leader {
            let abandoned = self.batcher.as_mut().map(Batcher::abandon);
            for request in abandoned.into_iter().flatten() {
                self.done(request, Answer::NotLeader);
            }
        }
        self.effects.push(Effect::Became(role, term, leader));
    }

    fn apply(
        &mut self,
        index: LogIndex,
        term: Term,
        data: Option<Arc<[u8]>>,
    ) -> Result<(), ControlError> {
        assert!(index > self.applied, "entries are applied in order, once");
        self.applied = index;
        let reply = match data {
            Some(data) => {
                let command = Command::decode(&data)
                    .map_err(|source| ControlError::Command { index, source })?;
                self.replayed += 1;
                Some(self.machine.apply(index.0, &command))
            }
            None => None,
        };
        match self.pending.remove(&index) {
            Some((proposed, waiter)) if proposed == term => self.answer(waiter, reply),
            Some((_, replaced)) => self.refuse(replaced, &Answer::NotLeader),
            None => {}
        }
        Ok(())
    }

    fn answer(&mut self, waiter: Waiter, reply: Option<Reply>) {
        match (waiter, reply) {
            (Waiter::One(request), Some(reply)) => self.reply(request, &reply),
            (Waiter::Batch(shares), Some(Reply::Batch(replies))) => {
                self.batcher.iter_mut().for_each(Batcher::landed);
                for (request, reply) in split(shares, replies) {
                    self.reply(request, &reply);
                }
            }
            (Waiter::Members(request), None) => self.done(request, Answer::Members(Ok(()))),
            (Waiter::Nobody, _) => {}
            _ => panic!("an entry is applied as what it was proposed as"),
        }
    }

    fn reply(&mut self, request: RequestId, reply: &Reply) {
        self.done(request, Answer::Proposed(Ok(encode_reply(reply))));
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), ControlError> {
        let machine = StateMachine::restore(&snapshot.data)?;
        assert!(
            machine.config().number() >= self.machine.config().number(),
            "configuration goes back from {} to {}",
            self.machine.config().number(),
            machine.config().number()
        );
        self.machine = machine;
        self.applied = snapshot.meta.index;
        // Whether these are in the snapshot can't be told from it.
        let later = self.pending.split_off(&self.applied.next());
        for (_, waiter) in std::mem::replace(&mut self.pending, later).into_values() {
            let answer = match waiter {
                Waiter::Members(_) => Answer::Members(Err(MembersError::Unknown)),
                _ => Answer::Proposed(Err(ProposeError::Unknown)),
            };
            self.refuse(waiter, &answer);
        }
        Ok(())
    }
}
