//! Handles the actions of the consensus core: applies committed entries and completes their requests.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_consensus::{Action, LogIndex, MemberId, ReadId, RoleKind, Snapshot, Term};
use coltsfootnotch_state::{Command, Reply, StateMachine};
use coltsfootnotch_wire::{MembersError, ProposeError};

use super::{Effect, Replica, Waiter};
use crate::core::encode_reply;
use crate::daemon::control::ControlError;
use crate::daemon::control::batcher::{Batcher, split};
use crate::daemon::control::packet::LeaderResponse;
use crate::daemon::control::request_table::RequestId;

impl Replica {
    pub(super) fn handle_action(
        &mut self,
        now: Duration,
        action: Action,
    ) -> Result<(), ControlError> {
        match action {
            Action::Send { to, msg } => self.effects.push(Effect::Send(to, msg)),
            Action::Persist(persist) => self.effects.push(Effect::Persist(persist)),
            Action::Apply { index, term, data } => self.apply(index, term, data)?,
            Action::ReadReady { id, index } => self.emit_read(id, LeaderResponse::Read(index.0)),
            Action::ReadFailed { id, .. } => self.emit_read(id, LeaderResponse::NotLeader),
            Action::TakeSnapshot { index } => {
                assert_eq!(
                    index, self.applied,
                    "a snapshot is taken at the applied index"
                );
                let data = self.machine.snapshot();
                self.core.snapshot_taken(now, index, data);
            }
            Action::InstallSnapshot(snapshot) => self.install(&snapshot)?,
            Action::RoleChanged { role, term, leader } => self.on_role_change(role, term, leader),
            Action::MembersChanged { members } => {
                self.effects.push(Effect::MembersChanged(members));
            }
        }
        Ok(())
    }

    fn emit_read(&mut self, id: ReadId, response: LeaderResponse) {
        if let Some(request) = self.reads.remove(&id) {
            self.emit(request, response);
        }
    }

    fn on_role_change(&mut self, role: RoleKind, term: Term, leader: Option<MemberId>) {
        self.clock = None;
        if role != RoleKind::Leader {
            let abandoned = self.batcher.as_mut().map(Batcher::abandon);
            for request in abandoned.into_iter().flatten() {
                self.emit(request, LeaderResponse::NotLeader);
            }
        }
        self.effects.push(Effect::RoleChanged(role, term, leader));
    }

    fn apply(
        &mut self,
        index: LogIndex,
        term: Term,
        data: Option<Arc<[u8]>>,
    ) -> Result<(), ControlError> {
        assert!(
            index > self.applied,
            "entries are applied in order and once"
        );
        self.applied = index;
        let reply = match data {
            Some(data) => {
                let command = Command::decode(&data)
                    .map_err(|source| ControlError::Command { index, source })?;
                self.commands_applied += 1;
                Some(self.machine.apply(index.0, &command))
            }
            None => None,
        };
        match self.pending.remove(&index) {
            Some((proposed, waiter)) if proposed == term => self.respond(waiter, reply),
            Some((_, replaced)) => self.refuse(replaced, &LeaderResponse::NotLeader),
            None => {}
        }
        Ok(())
    }

    fn respond(&mut self, waiter: Waiter, reply: Option<Reply>) {
        match (waiter, reply) {
            (Waiter::One(request), Some(reply)) => self.reply(request, &reply),
            (Waiter::Batch(shares), Some(Reply::Batch(replies))) => {
                self.batcher.iter_mut().for_each(Batcher::finish_batch);
                for (request, reply) in split(shares, replies) {
                    self.reply(request, &reply);
                }
            }
            (Waiter::Members(request), None) => self.emit(request, LeaderResponse::Members(Ok(()))),
            (Waiter::Internal, _) => {}
            _ => panic!("the reply of an applied entry does not fit its proposal"),
        }
    }

    fn reply(&mut self, request: RequestId, reply: &Reply) {
        self.emit(request, LeaderResponse::Proposed(Ok(encode_reply(reply))));
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
        // A snapshot doesn't show whether these were committed.
        let later = self.pending.split_off(&self.applied.next());
        for (_, waiter) in std::mem::replace(&mut self.pending, later).into_values() {
            let response = match waiter {
                Waiter::Members(_) => LeaderResponse::Members(Err(MembersError::Unknown)),
                _ => LeaderResponse::Proposed(Err(ProposeError::Unknown)),
            };
            self.refuse(waiter, &response);
        }
        Ok(())
    }
}
