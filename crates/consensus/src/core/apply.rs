//! Committing, applying, and asking for snapshots.

use std::sync::Arc;
use std::time::Duration;

use super::{Core, command};
use crate::{Action, LogIndex, Snapshot};

impl Core {
    pub(super) fn set_commit(&mut self, commit: LogIndex) {
        assert!(commit >= self.commit, "the commit index never falls");
        assert!(
            commit <= self.log.last_index(),
            "only entries in the log are committed"
        );
        self.commit = commit;
    }

    /// Hands committed entries to the state machine, those that this member has synced itself: a
    /// member that restarts then never answers from less than it had applied.
    pub(super) fn apply_committed(&mut self) {
        if self.installing.is_some() {
            return;
        }
        let until = self.commit.min(self.log.synced());
        while self.applied < until {
            self.apply_next();
        }
        self.settle_reads();
    }

    fn apply_next(&mut self) {
        let index = self.applied.next();
        let entry = self.log.get(index);
        let entry =
            entry.expect("entries are kept until a snapshot of what was applied holds them");
        let (term, len) = (entry.term, entry.payload.len());
        let data = command(&entry.payload);
        self.out.push(Action::Apply { index, term, data });
        self.applied = index;
        self.applied_bytes += len;
        self.ask_for_snapshot();
    }

    fn ask_for_snapshot(&mut self) {
        let entries = self.applied.0 - self.log.snapshot_index().0;
        let due =
            entries >= self.cfg.snapshot_entries || self.applied_bytes >= self.cfg.snapshot_bytes;
        if due && !self.snapshot_asked {
            self.snapshot_asked = true;
            let index = self.applied;
            self.out.push(Action::TakeSnapshot { index });
        }
    }

    /// Answers [`Action::TakeSnapshot`] with the encoded state machine. Once the snapshot is
    /// synced, the log up to `index` goes.
    pub fn snapshot_taken(&mut self, now: Duration, index: LogIndex, data: impl Into<Arc<[u8]>>) {
        self.advance(now);
        assert!(index <= self.applied, "a snapshot holds what was applied");
        let outdated = index <= self.log.snapshot_index();
        let meta = self.log.meta_at(index);
        let Some(meta) = meta.filter(|_| !outdated && self.saving.is_none()) else {
            return;
        };
        let snapshot = Snapshot {
            meta,
            data: data.into(),
        };
        self.out.flush(&self.hard, &mut self.log);
        let seq = self.out.save(snapshot.clone(), false);
        self.saving = Some((seq, snapshot));
        self.applied_bytes = 0;
    }

    /// Takes over the snapshots that the storage has synced meanwhile.
    pub(super) fn finish_snapshots(&mut self) {
        let saved = self.saving.take_if(|(seq, _)| self.out.is_synced(*seq));
        if let Some((_, snapshot)) = saved {
            self.snapshot_asked = false;
            if snapshot.meta.index > self.log.snapshot_index() {
                let (entries, bytes) = (self.cfg.keep_entries, self.cfg.keep_bytes);
                self.log.compact(snapshot, entries, bytes);
            }
        }
        let installed = self.installing.take_if(|(seq, _)| self.out.is_synced(*seq));
        if let Some((_, snapshot)) = installed {
            self.finish_install(snapshot);
        }
    }
}
