//! Catching up by the leader's snapshot, which comes in parts.

use super::Core;
use crate::{Action, Body, LogIndex, MemberId, Snapshot, SnapshotMeta};

/// A snapshot of which parts have come.
#[derive(Debug)]
pub(super) struct Incoming {
    meta: SnapshotMeta,
    total: u64,
    crc: u32,
    data: Vec<u8>,
}

impl Incoming {
    pub(super) fn new(meta: SnapshotMeta, total: u64, crc: u32) -> Self {
        Self {
            meta,
            total,
            crc,
            data: Vec::new(),
        }
    }

    fn is_same(&self, other: &Self) -> bool {
        (&self.meta, self.total, self.crc) == (&other.meta, other.total, other.crc)
    }

    fn have(&self) -> u64 {
        self.data.len() as u64
    }
}

impl Core {
    pub(super) fn on_chunk(
        &mut self,
        from: &MemberId,
        described: Incoming,
        offset: u64,
        data: &[u8],
        round: u64,
    ) {
        let index = described.meta.index;
        if index <= self.commit {
            let matched = self.commit;
            return self.answer(from, Body::Appended { matched, round });
        }
        let mut incoming = match self.incoming.take() {
            Some(begun) if begun.is_same(&described) => begun,
            _ => described,
        };
        if offset == incoming.have() {
            incoming.data.extend_from_slice(data);
        }
        if incoming.have() < incoming.total {
            let offset = incoming.have();
            self.incoming = Some(incoming);
            return self.answer(
                from,
                Body::ChunkReply {
                    index,
                    offset,
                    round,
                },
            );
        }
        if crc32fast::hash(&incoming.data) != incoming.crc {
            // Parts of two encodings were mixed, or the network damaged one: start again.
            let offset = 0;
            return self.answer(
                from,
                Body::ChunkReply {
                    index,
                    offset,
                    round,
                },
            );
        }
        self.install(incoming);
        self.answer(
            from,
            Body::Appended {
                matched: index,
                round,
            },
        );
    }

    /// Replaces the beginning of the log by the snapshot, or all of it where the log does not
    /// continue the snapshot. The answer and the state machine wait until that is synced.
    fn install(&mut self, incoming: Incoming) {
        let meta = incoming.meta;
        let reset_log = self.log.term_at(meta.index) != Some(meta.term);
        let index = meta.index;
        let snapshot = Snapshot {
            meta,
            data: incoming.data.into(),
        };
        self.out.flush(&self.hard, &mut self.log);
        self.log.install(snapshot.clone(), reset_log);
        let seq = self.out.save(snapshot.clone(), reset_log);
        self.log.issued(seq);
        self.set_commit(index);
        self.installing = Some((seq, snapshot));
    }

    pub(super) fn finish_install(&mut self, snapshot: Snapshot) {
        let index: LogIndex = snapshot.meta.index;
        assert!(
            index > self.applied,
            "a snapshot never takes the state back"
        );
        self.applied = index;
        self.applied_bytes = 0;
        self.snapshot_asked = false;
        self.out.push(Action::InstallSnapshot(snapshot));
        self.apply_committed();
    }
}
