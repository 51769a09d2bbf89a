//! Outgoing actions: storage work, and messages that wait for it to be synced.

use std::collections::VecDeque;

use crate::log::Log;
use crate::{
    Action, HardState, LogIndex, MemberId, Message, Persist, PersistSeq, PersistWork, Snapshot,
};

/// Actions to return, and messages held until the state they depend on is synced.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    hard_changed: bool,
    truncate_from: Option<LogIndex>,
    append_from: Option<LogIndex>,
    issued: PersistSeq,
    synced: PersistSeq,
    pending: VecDeque<(PersistSeq, MemberId, Message)>,
}

impl Outbox {
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Marks the term or vote as changed.
    pub(crate) fn mark_hard_changed(&mut self) {
        self.hard_changed = true;
    }

    /// Marks entries from `index` on as appended.
    pub(crate) fn mark_appended(&mut self, index: LogIndex) {
        self.append_from.get_or_insert(index);
    }

    /// Marks the log as truncated from `index` on.
    pub(crate) fn mark_truncated(&mut self, index: LogIndex) {
        let earlier = self.truncate_from.map_or(index, |at| at.min(index));
        self.truncate_from = Some(earlier);
        self.append_from = self.append_from.map(|at| at.min(index));
    }

    fn has_work(&self) -> bool {
        self.hard_changed || self.truncate_from.is_some() || self.append_from.is_some()
    }

    /// The work that must be synced before a message may depend on the current state.
    pub(crate) fn barrier(&self) -> PersistSeq {
        if self.has_work() {
            PersistSeq(self.issued.0 + 1)
        } else {
            self.issued
        }
    }

    pub(crate) fn is_synced(&self, seq: PersistSeq) -> bool {
        seq <= self.synced
    }

    /// Sends immediately, for messages that do not depend on durable state.
    pub(crate) fn send(&mut self, to: MemberId, msg: Message) {
        self.actions.push(Action::Send { to, msg });
    }

    /// Sends once the current state is synced.
    pub(crate) fn send_synced(&mut self, to: MemberId, msg: Message) {
        let barrier = self.barrier();
        if self.is_synced(barrier) {
            self.send(to, msg);
        } else {
            self.pending.push_back((barrier, to, msg));
        }
    }

    /// Issues all changes since the last call as one piece of storage work.
    pub(crate) fn flush(&mut self, hard: &HardState, log: &mut Log) {
        if !self.has_work() {
            return;
        }
        let entries = self
            .append_from
            .take()
            .map_or_else(Vec::new, |from| log.slice(from, usize::MAX));
        let hard = std::mem::take(&mut self.hard_changed).then(|| hard.clone());
        let truncate_from = self.truncate_from.take();
        let seq = self.issue(PersistWork::Log {
            hard,
            truncate_from,
            entries,
        });
        log.record_issued(seq);
    }

    /// Issues the saving of a snapshot.
    ///
    /// # Panics
    /// If changes are pending; call [`Outbox::flush`] first.
    pub(crate) fn save_snapshot(&mut self, snapshot: Snapshot, reset_log: bool) -> PersistSeq {
        assert!(
            !self.has_work(),
            "pending changes are flushed before a snapshot"
        );
        self.issue(PersistWork::Snapshot {
            snapshot,
            reset_log,
        })
    }

    fn issue(&mut self, work: PersistWork) -> PersistSeq {
        self.issued = PersistSeq(self.issued.0 + 1);
        let seq = self.issued;
        self.actions.push(Action::Persist(Persist { seq, work }));
        seq
    }

    /// Records that the storage has synced everything up to `seq`, and sends the messages that
    /// waited for it.
    pub(crate) fn mark_synced(&mut self, seq: PersistSeq) {
        assert!(seq <= self.issued, "only issued work can be synced");
        self.synced = self.synced.max(seq);
        let synced = self.synced;
        while let Some((_, to, msg)) = self.pending.pop_front_if(|(s, _, _)| *s <= synced) {
            self.send(to, msg);
        }
    }
}
