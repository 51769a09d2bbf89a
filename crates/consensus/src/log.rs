//! The log in memory: the entries since the last snapshot, and how far they are synced.

use std::collections::VecDeque;

use crate::{
    Entry, LogIndex, Membership, Payload, PersistSeq, Recovered, Snapshot, SnapshotMeta, Term,
};

/// The log of one member.
#[derive(Debug)]
pub(crate) struct Log {
    /// Place and term of the entry before the first in memory.
    base: (LogIndex, Term),
    entries: VecDeque<Entry>,
    /// Every statement of members that may still be in force, oldest first.
    members: Vec<(LogIndex, Membership)>,
    snapshot: Option<Snapshot>,
    synced: LogIndex,
    /// Storage work that is not reported yet, with the end of the log that it leaves on disk.
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

    /// The entry before the first in memory.
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
        let place = index.0.checked_sub(self.base.0.0 + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// The term of an entry that is in memory, or of the one before those.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|e| e.term)
    }

    /// Entries from `from` on, as many as fit into `max_bytes`, and at least one.
    pub(crate) fn slice(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut picked = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload.len();
            if bytes > max_bytes && !picked.is_empty() {
                break;
            }
            picked.push(entry.clone());
            index = index.next();
        }
        picked
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index().next(), "the log has no gap");
        assert!(entry.term >= self.last_term(), "terms never fall in a log");
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        assert!(from > self.base.0, "only entries after the base can go");
        let keep = from.0 - self.base.0.0 - 1;
        self.entries.truncate(keep as usize);
        self.members.retain(|(index, _)| *index < from);
        let last = from.prev();
        self.synced = self.synced.min(last);
        for (_, end) in &mut self.unsynced {
            *end = (*end).min(last);
        }
    }

    /// The members in force: those that the last statement in the log names, committed or not.
    pub(crate) fn members(&self) -> &Membership {
        &self.members[self.members.len() - 1].1
    }

    /// Where the statement of [`Log::members`] stands.
    pub(crate) fn members_index(&self) -> LogIndex {
        self.members[self.members.len() - 1].0
    }

    /// Place, term and members of a snapshot that ends with `index`.
    pub(crate) fn meta_at(&self, index: LogIndex) -> Option<SnapshotMeta> {
        let (_, members) = self.members.iter().rev().find(|(at, _)| *at <= index)?;
        Some(SnapshotMeta {
            index,
            term: self.term_at(index)?,
            members: members.clone(),
        })
    }

    /// Takes over an own snapshot that is synced, and forgets all entries before its end but the last
    /// `keep`, or as many of them as `bytes` hold.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: u64, bytes: usize) {
        let end = snapshot.meta.index;
        let by_count = LogIndex(end.0.saturating_sub(keep));
        let new_base = by_count.max(self.base_within(end, bytes));
        self.snapshot = Some(snapshot);
        self.drop_until(new_base);
    }

    /// The base from which the entries up to `end` hold at most `bytes`.
    fn base_within(&self, end: LogIndex, bytes: usize) -> LogIndex {
        let mut left = bytes;
        let covered = self
            .entries
            .iter()
            .rev()
            .skip_while(|entry| entry.index > end);
        for entry in covered {
            let Some(rest) = left.checked_sub(entry.payload.len()) else {
                return entry.index;
            };
            left = rest;
        }
        LogIndex(0)
    }

    /// Bytes of the entries held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.payload.len()).sum()
    }

    fn drop_until(&mut self, new_base: LogIndex) {
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

    /// Takes over the leader's snapshot; `reset` drops the entries after it as well.
    pub(crate) fn install(&mut self, snapshot: Snapshot, reset: bool) {
        let meta = snapshot.meta.clone();
        self.snapshot = Some(snapshot);
        if !reset {
            self.drop_until(meta.index);
            return;
        }
        self.entries.clear();
        self.base = (meta.index, meta.term);
        self.members = vec![(meta.index, meta.members)];
        self.unsynced.clear();
        self.synced = LogIndex(0);
    }

    /// Notes that storage work `seq` leaves the log on disk as it is now in memory.
    pub(crate) fn issued(&mut self, seq: PersistSeq) {
        self.unsynced.push_back((seq, self.last_index()));
    }

    /// Notes that the storage has synced everything up to `seq`.
    pub(crate) fn mark_synced(&mut self, seq: PersistSeq) {
        while let Some((_, end)) = self.unsynced.pop_front_if(|(s, _)| *s <= seq) {
            self.synced = end;
        }
    }
}
