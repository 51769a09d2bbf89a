//! Reading the data folder back: replaying the segments over the newest snapshot.

use std::collections::VecDeque;

use super::disk::{DiskBatch, DiskWork, FORMAT};
use super::files::Files;
use super::{StorageError, segment, snapshot_file, watermark};
use crate::{Entry, HardState, LogIndex, MemberId, Recovered, Snapshot};

/// A segment that is not written any more.
#[derive(Debug)]
pub(super) struct Closed {
    pub(super) name: String,
    /// Highest index of an entry in it.
    pub(super) max_index: LogIndex,
}

/// What the folder held.
pub(super) struct Found {
    pub(super) recovered: Recovered,
    pub(super) closed: VecDeque<Closed>,
    pub(super) last_batch: u64,
}

/// The log as far as it is replayed.
#[derive(Default)]
struct Replay {
    hard: HardState,
    entries: Vec<Entry>,
    last_batch: Option<u64>,
    /// The last entry before those that the segments hold; a snapshot must include it.
    before: u64,
}

/// Reads everything, and cuts off what a crash left behind the last sync.
pub(super) fn recover(files: &mut Files, member: MemberId) -> Result<Found, StorageError> {
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
        let whole = content.is_whole() && !content.batches.is_empty();
        if !whole && name != last {
            return Err(corrupt(name, content.bytes.len(), "a later segment exists"));
        }
        let bytes = content.bytes;
        let empty = content.batches.is_empty();
        let max_index = replay.segment(name, content.batches)?;
        if name == last {
            replay.check_not_below(synced, name, bytes.len())?;
            rewrite(files, name, &bytes)?;
        }
        if !empty {
            closed.push_back(Closed {
                name: (*name).clone(),
                max_index,
            });
        }
    }
    let last_batch = replay.last_batch.ok_or(StorageError::LogLost)?;
    let snapshot = snapshot_file::read_newest(files, &names)?;
    let recovered = replay.finish(member, snapshot, last)?;
    Ok(Found {
        recovered,
        closed,
        last_batch,
    })
}

/// Writes the last segment anew, without what a crash left behind its last whole frame.
///
/// After a failed sync the system may show bytes from memory that never reached the disk. The run
/// that met the failure stopped; this one would take them for synced. Written anew and synced, they
/// are.
fn rewrite(files: &mut Files, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
    if bytes.is_empty() {
        return files.remove(name);
    }
    files.write_whole(name, bytes)
}

fn corrupt(name: &str, offset: usize, why: &'static str) -> StorageError {
    StorageError::Corrupt {
        name: name.to_owned(),
        offset: offset as u64,
        why,
    }
}

impl Replay {
    /// Replays one segment, and tells the highest index in it.
    fn segment(&mut self, name: &str, batches: Vec<DiskBatch>) -> Result<LogIndex, StorageError> {
        let mut max_index = 0;
        for (place, batch) in batches.into_iter().enumerate() {
            let indexes = batch.works.iter().flat_map(|w| &w.entries).map(|e| e.index);
            max_index = indexes.fold(max_index, u64::max);
            self.batch(name, place == 0, batch)?;
        }
        Ok(LogIndex(max_index))
    }

    fn batch(&mut self, name: &str, first: bool, batch: DiskBatch) -> Result<(), StorageError> {
        let follows = self.last_batch.is_none_or(|last| last + 1 == batch.number);
        if !follows {
            return Err(corrupt(name, 0, "a batch is missing"));
        }
        if let Some(start) = &batch.start
            && (self.last_batch.is_none() || start.reset)
        {
            self.before = start.log_end;
        }
        match &batch.start {
            Some(start) if start.format != FORMAT => {
                return Err(corrupt(name, 0, "its format is not known"));
            }
            Some(start) if start.reset => self.entries.clear(),
            None if first => return Err(corrupt(name, 0, "it has no start")),
            _ => {}
        }
        self.last_batch = Some(batch.number);
        batch.works.into_iter().try_for_each(|w| self.work(name, w))
    }

    fn work(&mut self, name: &str, work: DiskWork) -> Result<(), StorageError> {
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

    /// A log that ends before what `synced` names has lost acknowledged entries or votes.
    fn check_not_below(&self, synced: u64, name: &str, offset: usize) -> Result<(), StorageError> {
        if self.last_batch.unwrap_or(0) < synced {
            return Err(corrupt(
                name,
                offset,
                "a synced batch is missing at the end",
            ));
        }
        Ok(())
    }

    /// Puts the entries on top of the snapshot.
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
        // Older segments are deleted only when a snapshot holds all of their entries.
        if self.before > index.0 {
            return Err(corrupt(
                name,
                0,
                "a snapshot or segments are missing before it",
            ));
        }
        // The leader's snapshot was saved, and a crash came before the log that it replaces was
        // marked void: entries that contradict it are void all the same.
        let differs = entries.iter().any(|e| e.index == index && e.term != term);
        if differs {
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
