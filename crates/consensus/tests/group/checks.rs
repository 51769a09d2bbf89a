//! Safety properties that are checked in every run.

use std::collections::BTreeMap;

use coltsfootnotch_consensus::{Action, LogIndex, MemberId, ReadId, RoleKind, Term};

#[derive(Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, MemberId>,
    /// The entry applied at each index, by any member.
    order: BTreeMap<LogIndex, (Term, Option<u64>)>,
    /// Proposals without a known outcome.
    pub(crate) proposed: BTreeMap<(LogIndex, Term), u64>,
    /// Commands acknowledged to their proposer.
    pub(crate) acked: BTreeMap<LogIndex, u64>,
    /// Pending reads, each with the last command acknowledged before the read started.
    pub(crate) reads: BTreeMap<(MemberId, ReadId), LogIndex>,
    pub(crate) reads_answered: usize,
}

impl Checks {
    pub(crate) fn check(&mut self, id: &MemberId, action: &Action) {
        match action {
            Action::Apply { index, term, data } => {
                let command = data
                    .as_ref()
                    .map(|d| d[..].try_into().expect("eight bytes"));
                self.check_apply(id, *index, *term, command.map(u64::from_le_bytes));
            }
            Action::RoleChanged {
                role: RoleKind::Leader,
                term,
                ..
            } => {
                let first = self.leaders.entry(*term).or_insert_with(|| id.clone());
                assert_eq!(first, id, "at most one leader per term");
            }
            Action::ReadReady { id: read, index } => self.check_read(id, *read, *index),
            Action::ReadFailed { id: read, .. } => {
                self.reads.remove(&(id.clone(), *read));
            }
            _ => {}
        }
    }

    fn check_apply(&mut self, id: &MemberId, index: LogIndex, term: Term, command: Option<u64>) {
        let first = self.order.entry(index).or_insert((term, command));
        assert_eq!(
            *first,
            (term, command),
            "{id} applies the same entry at {index} as other members"
        );
        if let Some(command) = self.proposed.remove(&(index, term)) {
            self.acked.insert(index, command);
        }
    }

    /// A read includes everything that was acknowledged before it started.
    fn check_read(&mut self, id: &MemberId, read: ReadId, index: LogIndex) {
        let acked = self.reads.remove(&(id.clone(), read));
        let acked = acked.expect("a read is answered only once");
        assert!(
            index >= acked,
            "{id} answers a read from {index}, expected at least {acked}"
        );
        self.reads_answered += 1;
    }
}
