//! What a follower does with the leader's entries.

use super::{Core, Role};
use crate::{Body, Entry, LogIndex, MemberId, Term};

impl Core {
    /// Takes `from` for the leader of this term.
    pub(super) fn hear_leader(&mut self, from: &MemberId) {
        assert!(!self.is_leader(), "one leader a term: {from} leads as well");
        let known = self.term_leader.get_or_insert_with(|| from.clone());
        assert_eq!(known, from, "one leader a term");
        if !matches!(self.role, Role::Follower) || self.leader.as_ref() != Some(from) {
            let term = self.hard.term;
            self.follow(term, Some(from.clone()));
        }
        self.heard = Some(self.now);
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
        if !self.holds(prev_index, prev_term) {
            let hint = self.hint_before(prev_index);
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
            self.take_entry(entry);
        }
        let known = commit.min(matched);
        if known > self.commit {
            self.set_commit(known);
        }
        self.apply_committed();
        self.answer(from, Body::Appended { matched, round });
    }

    /// Whether the log holds the leader's entry at `index`. What is committed is the leader's.
    fn holds(&self, index: LogIndex, term: Term) -> bool {
        index <= self.commit || self.log.term_at(index) == Some(term)
    }

    /// Where the leader should look next for a matching entry: before the whole term that differs.
    fn hint_before(&self, prev_index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let differing = self.log.term_at(prev_index);
        let mut hint = prev_index.prev();
        while hint > self.commit && self.log.term_at(hint) == differing {
            hint = hint.prev();
        }
        hint
    }

    fn take_entry(&mut self, entry: Entry) {
        let held = self.log.term_at(entry.index);
        if entry.index <= self.commit {
            let same = held.is_none_or(|term| term == entry.term);
            assert!(same, "a committed entry never changes");
            return;
        }
        match held {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        self.append(entry);
    }

    fn truncate(&mut self, from: LogIndex) {
        assert!(from > self.commit, "a committed entry is never truncated");
        self.log.truncate(from);
        self.out.truncated(from);
    }
}
