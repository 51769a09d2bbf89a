//! What leaves the core: storage work, and messages that wait for it.

use std::collections::VecDeque;

use crate::log::Log;
use crate::{
    Action, HardState, LogIndex, MemberId, Message, Persist, PersistSeq, PersistWork, Snapshot,
};

/// Actions to hand out, and messages held back until what they promise is synced.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    actions: Vec<Action>,
    hard_changed: bool,
    truncate_from: Option<LogIndex>,
    append_from: Option<LogIndex>,
    issued: PersistSeq,
    synced: PersistSeq,
    held: VecDeque<(PersistSeq, MemberId, Message)>,
}

impl Outbox {
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The vote or the term changed.
    pub(crate) fn hard_changed(&mut self) {
        self.hard_changed = true;
    }

    /// The log has new entries from `index` on.
    pub(crate) fn appended(&mut self, index: LogIndex) {
        self.append_from.get_or_insert(index);
    }

    /// The log was cut before `index`.
    pub(crate) fn truncated(&mut self, index: LogIndex) {
        let earlier = self.truncate_from.map_or(index, |at| at.min(index));
        self.truncate_from = Some(earlier);
        self.append_from = self.append_from.map(|at| at.min(index));
    }

    fn has_work(&self) -> bool {
        self.hard_changed || self.truncate_from.is_some() || self.append_from.is_some()
    }

    /// The work that must be synced before the member may speak of its present state.
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

    /// Sends at once: for messages that promise nothing about this member's disk.
    pub(crate) fn send(&mut self, to: MemberId, msg: Message) {
        self.actions.push(Action::Send { to, msg });
    }

    /// Sends once the present state is synced.
    pub(crate) fn send_synced(&mut self, to: MemberId, msg: Message) {
        let barrier = self.barrier();
        if self.is_synced(barrier) {
            self.send(to, msg);
        } else {
            self.held.push_back((barrier, to, msg));
        }
    }

    /// Turns all changes since the last call into one piece of storage work.
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
        log.issued(seq);
    }

    /// Adds the saving of a snapshot; [`Outbox::flush`] goes before.
    pub(crate) fn save(&mut self, snapshot: Snapshot, reset_log: bool) -> PersistSeq {
        assert!(!self.has_work(), "storage work keeps its order");
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

    /// The storage has synced everything up to `seq`: releases the messages that waited for it.
    pub(crate) fn mark_synced(&mut self, seq: PersistSeq) {
        assert!(seq <= self.issued, "only issued work can be synced");
        self.synced = self.synced.max(seq);
        let synced = self.synced;
        while let Some((_, to, msg)) = self.held.pop_front_if(|(s, _, _)| *s <= synced) {
            self.send(to, msg);
        }
    }
}
