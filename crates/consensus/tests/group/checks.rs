//! What must hold in every run, whatever happens to the group.

use std::collections::BTreeMap;

use coltsfootnotch_consensus::{Action, LogIndex, MemberId, ReadId, RoleKind, Term};

#[derive(Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, MemberId>,
    /// What any member applied at an index.
    order: BTreeMap<LogIndex, (Term, Option<u64>)>,
    /// Proposals whose outcome is open.
    pub(crate) proposed: BTreeMap<(LogIndex, Term), u64>,
    /// Commands acknowledged to their proposer.
    pub(crate) acked: BTreeMap<LogIndex, u64>,
    /// Reads that wait, each with the last command acknowledged before it began.
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
                assert_eq!(first, id, "one leader a term");
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
        assert_eq!(*first, (term, command), "one order: {id} at {index}");
        if let Some(command) = self.proposed.remove(&(index, term)) {
            self.acked.insert(index, command);
        }
    }

    /// A read sees everything that was acknowledged before it began.
    fn check_read(&mut self, id: &MemberId, read: ReadId, index: LogIndex) {
        let begun = self.reads.remove(&(id.clone(), read));
        let begun = begun.expect("a read is answered once");
        assert!(index >= begun, "{id} answers from {index}, before {begun}");
        self.reads_answered += 1;
    }
}
