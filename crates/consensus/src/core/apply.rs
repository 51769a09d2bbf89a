//! Commit, apply and snapshot requests.

use std::sync::Arc;
use std::time::Duration;

use super::{Core, command};
use crate::{Action, LogIndex, Snapshot};

impl Core {
    pub(super) fn set_commit(&mut self, commit: LogIndex) {
        assert!(commit >= self.commit, "the commit index never decreases");
        assert!(
            commit <= self.log.last_index(),
            "the commit index is within the log"
        );
        self.commit = commit;
    }

    /// Applies committed entries that this member has synced. Waiting for the local sync guards
    /// against a restart that recovers less than was applied before.
    pub(super) fn apply_committed(&mut self) {
        if self.installing.is_some() {
            return;
        }
        let end = self.commit.min(self.log.synced());
        while self.applied < end {
            self.apply_next();
        }
        self.complete_reads();
    }

    fn apply_next(&mut self) {
        let index = self.applied.next();
        let entry = self.log.get(index);
        let entry = entry
            .expect("entries stay in the log until a snapshot of the applied state includes them");
        let (term, len) = (entry.term, entry.payload.len());
        let data = command(&entry.payload);
        self.out.push(Action::Apply { index, term, data });
        self.applied = index;
        self.applied_bytes += len;
        self.request_snapshot();
    }

    fn request_snapshot(&mut self) {
        let entries = self.applied.0 - self.log.snapshot_index().0;
        let is_due =
            entries >= self.cfg.snapshot_entries || self.applied_bytes >= self.cfg.snapshot_bytes;
        if is_due && !self.snapshot_requested {
            self.snapshot_requested = true;
            let index = self.applied;
            self.out.push(Action::TakeSnapshot { index });
        }
    }

    /// Completes [`Action::TakeSnapshot`] with the encoded state machine. The log up to `index` is
    /// compacted once the snapshot is synced.
    ///
    /// # Panics
    /// If `index` is after the last applied entry.
    pub fn snapshot_taken(&mut self, now: Duration, index: LogIndex, data: impl Into<Arc<[u8]>>) {
        self.advance(now);
        assert!(
            index <= self.applied,
            "a snapshot covers only applied entries"
        );
        let is_outdated = index <= self.log.snapshot_index();
        let meta = self.log.meta_at(index);
        let Some(meta) = meta.filter(|_| !is_outdated && self.saving.is_none()) else {
            return;
        };
        let snapshot = Snapshot {
            meta,
            data: data.into(),
        };
        self.out.flush(&self.hard, &mut self.log);
        let seq = self.out.save_snapshot(snapshot.clone(), false);
        self.saving = Some((seq, snapshot));
        self.applied_bytes = 0;
    }

    /// Compacts the log or installs the state for snapshots that are now synced.
    pub(super) fn finish_snapshots(&mut self) {
        let saved = self.saving.take_if(|(seq, _)| self.out.is_synced(*seq));
        if let Some((_, snapshot)) = saved {
            self.snapshot_requested = false;
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
