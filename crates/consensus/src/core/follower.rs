//! Follower side of log replication.

use super::{Core, Role};
use crate::{Body, Entry, LogIndex, MemberId, Term};

impl Core {
    /// Records that `from` leads this term and resets the election timer.
    ///
    /// # Panics
    /// If another member leads this term.
    pub(super) fn record_leader_contact(&mut self, from: &MemberId) {
        assert!(
            !self.is_leader(),
            "at most one leader per term: {from} leads as well"
        );
        let term_leader = self.term_leader.get_or_insert_with(|| from.clone());
        assert_eq!(term_leader, from, "at most one leader per term");
        if !matches!(self.role, Role::Follower) || self.leader.as_ref() != Some(from) {
            let term = self.hard.term;
            self.follow(term, Some(from.clone()));
        }
        self.leader_contact = Some(self.now);
        self.reset_election();
    }

    pub(super) fn on_append(
        &mut self,
        from: &MemberId,
        (prev_index, prev_term): (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        round: u64,
    ) {
        if !self.has_matching_entry(prev_index, prev_term) {
            let hint = self.conflict_hint(prev_index);
            return self.answer(
                from,
                Body::AppendRejected {
                    prev_index,
                    hint,
                    round,
                },
            );
        }
        let matched = entries.last().map_or(prev_index, |e| e.index);
        for entry in entries {
            self.accept_entry(entry);
        }
        let new_commit = commit.min(matched);
        if new_commit > self.commit {
            self.set_commit(new_commit);
        }
        self.apply_committed();
        self.answer(from, Body::Appended { matched, round });
    }

    /// Whether the log matches the leader's at `index`. Committed entries always match.
    fn has_matching_entry(&self, index: LogIndex, term: Term) -> bool {
        index <= self.commit || self.log.term_at(index) == Some(term)
    }

    /// The index at which the leader should probe next: before all entries of the conflicting term.
    fn conflict_hint(&self, prev_index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let conflicting_term = self.log.term_at(prev_index);
        let mut hint = prev_index.prev();
        while hint > self.commit && self.log.term_at(hint) == conflicting_term {
            hint = hint.prev();
        }
        hint
    }

    fn accept_entry(&mut self, entry: Entry) {
        let existing_term = self.log.term_at(entry.index);
        if entry.index <= self.commit {
            let is_same = existing_term.is_none_or(|term| term == entry.term);
            assert!(is_same, "a committed entry never changes");
            return;
        }
        match existing_term {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        self.append(entry);
    }

    fn truncate(&mut self, from: LogIndex) {
        assert!(from > self.commit, "a committed entry is never truncated");
        self.log.truncate(from);
        self.out.mark_truncated(from);
    }
}
