//! The in-memory log: recent entries, membership and the synced index.

use std::collections::VecDeque;

use crate::{
    Entry, LogIndex, Membership, Payload, PersistSeq, Recovered, Snapshot, SnapshotMeta, Term,
};

/// The log of one member.
#[derive(Debug)]
pub(crate) struct Log {
    /// Index and term of the entry before the first one in memory.
    base: (LogIndex, Term),
    entries: VecDeque<Entry>,
    /// Memberships that are or may become effective again after a truncation, oldest first.
    members: Vec<(LogIndex, Membership)>,
    snapshot: Option<Snapshot>,
    synced: LogIndex,
    /// Issued storage work that is not synced yet, with the last index on disk after it.
    unsynced: VecDeque<(PersistSeq, LogIndex)>,
}

impl Log {
    pub(crate) fn new(recovered: Recovered) -> Self {
        let meta = recovered
            .snapshot
            .as_ref()
            .map(|s| s.meta.clone())
            .unwrap_or_default();
        let mut log = Self {
            base: (meta.index, meta.term),
            entries: VecDeque::new(),
            members: vec![(meta.index, meta.members)],
            snapshot: recovered.snapshot,
            synced: meta.index,
            unsynced: VecDeque::new(),
        };
        for entry in recovered.entries {
            log.push(entry);
        }
        log.synced = log.last_index();
        log
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base.0.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    /// Index of the entry before the first one in memory.
    pub(crate) fn base_index(&self) -> LogIndex {
        self.base.0
    }

    pub(crate) fn synced(&self) -> LogIndex {
        self.synced
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |s| s.meta.index)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.0.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The term of an entry in memory or of the base entry.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|e| e.term)
    }

    /// Entries from `from` on that fit into `max_bytes`, but at least one.
    pub(crate) fn slice(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload.len();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index().next(), "the log has no gaps");
        assert!(
            entry.term >= self.last_term(),
            "terms never decrease in the log"
        );
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        assert!(
            from > self.base.0,
            "only entries after the base can be truncated"
        );
        let keep = from.0 - self.base.0.0 - 1;
        self.entries.truncate(keep as usize);
        self.members.retain(|(index, _)| *index < from);
        let last = from.prev();
        self.synced = self.synced.min(last);
        for (_, end) in &mut self.unsynced {
            *end = (*end).min(last);
        }
    }

    /// The membership in force: the latest in the log, committed or not.
    pub(crate) fn members(&self) -> &Membership {
        &self.members[self.members.len() - 1].1
    }

    /// Index of the entry that holds [`Log::members`].
    pub(crate) fn members_index(&self) -> LogIndex {
        self.members[self.members.len() - 1].0
    }

    /// Metadata of a snapshot whose last entry is `index`.
    pub(crate) fn meta_at(&self, index: LogIndex) -> Option<SnapshotMeta> {
        let (_, members) = self.members.iter().rev().find(|(at, _)| *at <= index)?;
        Some(SnapshotMeta {
            index,
            term: self.term_at(index)?,
            members: members.clone(),
        })
    }

    /// Records a local snapshot that is synced and removes the entries it includes, except for the
    /// last `keep` or those that fit into `bytes`, whichever are fewer.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: u64, bytes: usize) {
        let end = snapshot.meta.index;
        let by_count = LogIndex(end.0.saturating_sub(keep));
        let new_base = by_count.max(self.base_for_bytes(end, bytes));
        self.snapshot = Some(snapshot);
        self.remove_until(new_base);
    }

    /// The lowest base for which the entries up to `end` have at most `bytes`.
    fn base_for_bytes(&self, end: LogIndex, bytes: usize) -> LogIndex {
        let mut remaining = bytes;
        let covered = self
            .entries
            .iter()
            .rev()
            .skip_while(|entry| entry.index > end);
        for entry in covered {
            let Some(rest) = remaining.checked_sub(entry.payload.len()) else {
                return entry.index;
            };
            remaining = rest;
        }
        LogIndex(0)
    }

    /// Bytes of the entries in memory.
    pub(crate) fn log_bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.payload.len()).sum()
    }

    fn remove_until(&mut self, new_base: LogIndex) {
        while self.base.0 < new_base {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base = (entry.index, entry.term);
        }
        let base = self.base.0;
        let first = self.members.iter().rposition(|(at, _)| *at <= base);
        self.members.drain(..first.unwrap_or(0));
    }

    /// Installs the leader's snapshot; `reset` also removes the entries after it.
    pub(crate) fn install(&mut self, snapshot: Snapshot, reset: bool) {
        let meta = snapshot.meta.clone();
        self.snapshot = Some(snapshot);
        if !reset {
            self.remove_until(meta.index);
            return;
        }
        self.entries.clear();
        self.base = (meta.index, meta.term);
        self.members = vec![(meta.index, meta.members)];
        self.unsynced.clear();
        self.synced = LogIndex(0);
    }

    /// Records that the log on disk matches memory once storage work `seq` is synced.
    pub(crate) fn record_issued(&mut self, seq: PersistSeq) {
        self.unsynced.push_back((seq, self.last_index()));
    }

    /// Records that the storage has synced everything up to `seq`.
    pub(crate) fn mark_synced(&mut self, seq: PersistSeq) {
        while let Some((_, end)) = self.unsynced.pop_front_if(|(s, _)| *s <= seq) {
            self.synced = end;
        }
    }
}
