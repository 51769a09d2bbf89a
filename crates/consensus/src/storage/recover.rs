//! Recovery of the data folder: replays the segments on top of the newest snapshot.

use std::collections::VecDeque;

use super::files::Files;
use super::format::{DiskBatch, DiskWork, FORMAT};
use super::{StorageError, segment, snapshot_file, watermark};
use crate::{Entry, HardState, LogIndex, MemberId, Recovered, Snapshot};

/// A segment that is no longer written to.
#[derive(Debug)]
pub(super) struct ClosedSegment {
    pub(super) name: String,
    /// Highest index of its entries.
    pub(super) max_index: LogIndex,
}

/// State recovered from the folder.
pub(super) struct RecoveredFolder {
    pub(super) recovered: Recovered,
    pub(super) closed: VecDeque<ClosedSegment>,
    pub(super) last_batch: u64,
}

/// State of the replay.
#[derive(Default)]
struct Replay {
    hard: HardState,
    entries: Vec<Entry>,
    last_batch: Option<u64>,
    /// The last entry before those in the segments; a snapshot must include it.
    base_index: u64,
}

/// Reads the whole folder and truncates a torn frame at its end.
pub(super) fn recover(
    files: &mut Files,
    member: MemberId,
) -> Result<RecoveredFolder, StorageError> {
    let names = files.list()?;
    let segments: Vec<&String> = names.iter().filter(|n| segment::is_name(n)).collect();
    let Some(last) = segments.last() else {
        return Err(StorageError::LogLost);
    };
    let synced = watermark::read(files, &names)?;
    let mut replay = Replay::default();
    let mut closed = VecDeque::new();
    for name in &segments {
        let content = segment::read(files, name)?;
        let is_complete = content.is_complete() && !content.batches.is_empty();
        if !is_complete && name != last {
            return Err(corrupt(name, content.bytes.len(), "a later segment exists"));
        }
        let bytes = content.bytes;
        let is_empty = content.batches.is_empty();
        let max_index = replay.apply_segment(name, content.batches)?;
        if name == last {
            replay.check_watermark(synced, name, bytes.len())?;
            rewrite_last_segment(files, name, &bytes)?;
        }
        if !is_empty {
            closed.push_back(ClosedSegment {
                name: (*name).clone(),
                max_index,
            });
        }
    }
    let last_batch = replay.last_batch.ok_or(StorageError::LogLost)?;
    let snapshot = snapshot_file::read_newest(files, &names)?;
    let recovered = replay.finish(member, snapshot, last)?;
    Ok(RecoveredFolder {
        recovered,
        closed,
        last_batch,
    })
}

/// Rewrites and syncs the last segment, without the bytes after its last complete frame.
///
/// After a failed sync in the previous run, the page cache may hold bytes that are not on disk; the
/// rewrite makes them durable.
fn rewrite_last_segment(files: &mut Files, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
    if bytes.is_empty() {
        return files.remove(name);
    }
    files.write_atomic(name, bytes)
}

fn corrupt(name: &str, offset: usize, why: &'static str) -> StorageError {
    StorageError::Corrupt {
        name: name.to_owned(),
        offset: offset as u64,
        why,
    }
}

impl Replay {
    /// Replays one segment and returns the highest index of its entries.
    fn apply_segment(
        &mut self,
        name: &str,
        batches: Vec<DiskBatch>,
    ) -> Result<LogIndex, StorageError> {
        let mut max_index = 0;
        for (position, batch) in batches.into_iter().enumerate() {
            let indexes = batch.works.iter().flat_map(|w| &w.entries).map(|e| e.index);
            max_index = indexes.fold(max_index, u64::max);
            self.apply_batch(name, position == 0, batch)?;
        }
        Ok(LogIndex(max_index))
    }

    fn apply_batch(
        &mut self,
        name: &str,
        first: bool,
        batch: DiskBatch,
    ) -> Result<(), StorageError> {
        let is_next = self.last_batch.is_none_or(|last| last + 1 == batch.number);
        if !is_next {
            return Err(corrupt(name, 0, "a batch is missing"));
        }
        if let Some(start) = &batch.start
            && (self.last_batch.is_none() || start.reset)
        {
            self.base_index = start.log_end;
        }
        match &batch.start {
            Some(start) if start.format != FORMAT => {
                return Err(corrupt(name, 0, "unsupported format version"));
            }
            Some(start) if start.reset => self.entries.clear(),
            None if first => return Err(corrupt(name, 0, "the segment header is missing")),
            _ => {}
        }
        self.last_batch = Some(batch.number);
        batch
            .works
            .into_iter()
            .try_for_each(|w| self.apply_work(name, w))
    }

    fn apply_work(&mut self, name: &str, work: DiskWork) -> Result<(), StorageError> {
        if let Some(hard) = work.hard {
            self.hard = hard.into();
        }
        if let Some(from) = work.truncate_from {
            self.entries.retain(|e| e.index.0 < from);
        }
        for stored in work.entries {
            let entry = Entry::from(stored);
            let last = self.entries.last();
            if last.is_some_and(|last| last.index.next() != entry.index) {
                return Err(corrupt(name, 0, "an entry is missing"));
            }
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Checks that the log includes the watermark. If not, acknowledged entries or votes are lost.
    fn check_watermark(&self, synced: u64, name: &str, offset: usize) -> Result<(), StorageError> {
        if self.last_batch.unwrap_or(0) < synced {
            return Err(corrupt(
                name,
                offset,
                "a synced batch is missing at the end",
            ));
        }
        Ok(())
    }

    /// Combines the entries with the snapshot.
    fn finish(
        self,
        member: MemberId,
        snapshot: Option<Snapshot>,
        name: &str,
    ) -> Result<Recovered, StorageError> {
        let mut entries = self.entries;
        let (index, term) = snapshot
            .as_ref()
            .map_or_else(Default::default, |s| (s.meta.index, s.meta.term));
        // Segments are deleted only after a snapshot includes all of their entries.
        if self.base_index > index.0 {
            return Err(corrupt(
                name,
                0,
                "the preceding snapshot or segments are missing",
            ));
        }
        // After a crash between saving the leader's snapshot and resetting the log, the log may
        // still contain entries that conflict with the snapshot.
        let conflicts = entries.iter().any(|e| e.index == index && e.term != term);
        if conflicts {
            entries.clear();
        }
        entries.retain(|e| e.index > index);
        if entries.first().is_some_and(|e| e.index != index.next()) {
            return Err(corrupt(name, 0, "entries are missing after the snapshot"));
        }
        Ok(Recovered {
            member,
            hard: self.hard,
            snapshot,
            entries,
        })
    }
}
