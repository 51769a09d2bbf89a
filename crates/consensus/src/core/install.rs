//! Installing the leader's snapshot, which is received in chunks.

use super::Core;
use crate::{Action, Body, LogIndex, MemberId, Snapshot, SnapshotMeta};

/// A partially received snapshot.
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

    fn is_same_snapshot(&self, other: &Self) -> bool {
        (&self.meta, self.total, self.crc) == (&other.meta, other.total, other.crc)
    }

    fn received_bytes(&self) -> u64 {
        self.data.len() as u64
    }
}

impl Core {
    pub(super) fn on_chunk(
        &mut self,
        from: &MemberId,
        header: Incoming,
        offset: u64,
        data: &[u8],
        round: u64,
    ) {
        let index = header.meta.index;
        if index <= self.commit {
            let matched = self.commit;
            return self.answer(from, Body::Appended { matched, round });
        }
        let mut incoming = match self.incoming.take() {
            Some(current) if current.is_same_snapshot(&header) => current,
            _ => header,
        };
        if offset == incoming.received_bytes() {
            incoming.data.extend_from_slice(data);
        }
        if incoming.received_bytes() < incoming.total {
            let offset = incoming.received_bytes();
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
            // Chunks of two encodings were mixed, or a chunk is damaged: restart the transfer.
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

    /// Replaces the log up to the snapshot, or the whole log if it does not continue the snapshot.
    /// The reply and the state machine wait until the snapshot is synced.
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
        let seq = self.out.save_snapshot(snapshot.clone(), reset_log);
        self.log.record_issued(seq);
        self.set_commit(index);
        self.installing = Some((seq, snapshot));
    }

    pub(super) fn finish_install(&mut self, snapshot: Snapshot) {
        let index: LogIndex = snapshot.meta.index;
        assert!(
            index > self.applied,
            "a snapshot never moves the state backwards"
        );
        self.applied = index;
        self.applied_bytes = 0;
        self.snapshot_requested = false;
        self.out.push(Action::InstallSnapshot(snapshot));
        self.apply_committed();
    }
}
