//! The storage: opens the data folder, writes batches and saves snapshots.

use std::collections::VecDeque;

use rand::Rng;

use super::files::{FaultInjector, FileOpOutcome, Files, OpenFile};
use super::format::{DiskBatch, DiskEntry, DiskHard, DiskStart, DiskWork};
use super::init::{create_folder, remove_temporary_files, start_segment};
use super::recover::{self, ClosedSegment};
use super::{StorageConfig, StorageError, identity, segment, snapshot_file, watermark};
use crate::{HardState, LogIndex, Persist, PersistSeq, PersistWork, Recovered, Snapshot};

/// The data folder of a member, used from one thread. After an error, nothing more is written.
pub struct Storage {
    files: Files,
    segment_bytes: u64,
    file: OpenFile,
    file_bytes: u64,
    file_max: LogIndex,
    closed: VecDeque<ClosedSegment>,
    watermark: OpenFile,
    watermark_synced: bool,
    hard: HardState,
    log_end: LogIndex,
    batch: u64,
    works: Vec<DiskWork>,
    pending: PersistSeq,
    syncs: u64,
    failed: bool,
}

impl Storage {
    /// Opens a data folder and recovers its state. An empty folder is initialised with a new
    /// identity.
    ///
    /// # Errors
    /// [`StorageError`] if the folder can't be used or synced data is damaged or missing.
    ///
    /// ```
    /// use coltsfootnotch_consensus::storage::{Storage, StorageConfig};
    /// use coltsfootnotch_types::HostName;
    ///
    /// let dir = tempfile::tempdir()?;
    /// let cfg = StorageConfig::new(dir.path(), HostName::new("colombo-1")?);
    /// let (storage, first) = Storage::open(&cfg, &mut rand::rng())?;
    /// drop(storage);
    /// let (_storage, second) = Storage::open(&cfg, &mut rand::rng())?;
    /// assert_eq!(first.member, second.member);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn open(
        cfg: &StorageConfig,
        rng: &mut impl Rng,
    ) -> Result<(Self, Recovered), StorageError> {
        Self::open_with(cfg, Box::new(|_| FileOpOutcome::Proceed), rng)
    }

    /// Like [`Storage::open`], with `injector` deciding the outcome of every file operation.
    ///
    /// # Errors
    /// As [`Storage::open`].
    pub fn open_with(
        cfg: &StorageConfig,
        injector: FaultInjector,
        rng: &mut impl Rng,
    ) -> Result<(Self, Recovered), StorageError> {
        let mut files = Files::open(&cfg.dir, injector)?;
        remove_temporary_files(&mut files)?;
        let names = files.list()?;
        if !names.iter().any(|n| n == identity::NAME) {
            create_folder(&mut files, &names, cfg, rng)?;
        }
        let member = identity::read(&files)?;
        if member.host != cfg.host {
            return Err(StorageError::OtherHost {
                found: member.host,
                expected: cfg.host.clone(),
            });
        }
        let folder = recover::recover(&mut files, member)?;
        let snapshot = folder.recovered.snapshot.as_ref();
        let snapshot_end = snapshot.map_or(LogIndex(0), |s| s.meta.index);
        let (log_end, start) = match folder.recovered.entries.last() {
            Some(last) => (last.index, DiskStart::after(last.index)),
            None => (snapshot_end, DiskStart::after_snapshot(snapshot_end)),
        };
        let hard = &folder.recovered.hard;
        let batch = folder.last_batch + 1;
        let (file, file_bytes) = start_segment(&mut files, batch, hard, start)?;
        let watermark = files.create(watermark::NAME)?;
        let mut storage = Self {
            files,
            segment_bytes: cfg.segment_bytes,
            file,
            file_bytes,
            file_max: LogIndex(0),
            closed: folder.closed,
            watermark,
            watermark_synced: false,
            hard: hard.clone(),
            log_end,
            batch,
            works: Vec::new(),
            pending: PersistSeq(0),
            syncs: 0,
            failed: false,
        };
        storage.write_watermark()?;
        storage.sync_watermark()?;
        storage.files.sync_folder()?;
        Ok((storage, folder.recovered))
    }

    /// Number of syncs of the log since the folder was opened.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Buffers a piece of work; it is durable once [`Storage::sync`] has returned.
    ///
    /// # Errors
    /// [`StorageError`]; nothing more is written afterwards.
    pub fn persist(&mut self, persist: &Persist) -> Result<(), StorageError> {
        self.fail_stop(|storage| storage.buffer_work(persist))
    }

    /// Writes the buffered work as one batch with one sync. Returns the last piece of work that is
    /// now durable.
    ///
    /// # Errors
    /// [`StorageError`]; nothing more is written afterwards, and the process should stop.
    pub fn sync(&mut self) -> Result<PersistSeq, StorageError> {
        self.fail_stop(Self::sync_batch)
    }

    /// Buffers and syncs all of `works`.
    ///
    /// # Errors
    /// As [`Storage::sync`].
    ///
    /// ```
    /// use coltsfootnotch_consensus::storage::{Storage, StorageConfig};
    /// use coltsfootnotch_consensus::{Entry, LogIndex, Payload, Term};
    /// use coltsfootnotch_consensus::{Persist, PersistSeq, PersistWork};
    /// use coltsfootnotch_types::HostName;
    ///
    /// let dir = tempfile::tempdir()?;
    /// let cfg = StorageConfig::new(dir.path(), HostName::new("colombo-1")?);
    /// let (mut storage, _) = Storage::open(&cfg, &mut rand::rng())?;
    /// let entries = vec![Entry { index: LogIndex(1), term: Term(1), payload: Payload::Noop }];
    /// let work = PersistWork::Log { hard: None, truncate_from: None, entries };
    /// let seq = storage.run(&[Persist { seq: PersistSeq(1), work }])?;
    /// assert_eq!(seq, PersistSeq(1));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn run<'a>(
        &mut self,
        works: impl IntoIterator<Item = &'a Persist>,
    ) -> Result<PersistSeq, StorageError> {
        for persist in works {
            self.persist(persist)?;
        }
        self.sync()
    }

    /// Syncs the watermark, the number of the last synced batch; meant to be called when idle.
    /// Afterwards, damage to the last frame of the log can be distinguished from a torn write.
    ///
    /// # Errors
    /// As [`Storage::sync`].
    pub fn sync_watermark(&mut self) -> Result<(), StorageError> {
        self.fail_stop(|storage| {
            if !storage.watermark_synced {
                storage.files.sync(&storage.watermark)?;
                storage.watermark_synced = true;
            }
            Ok(())
        })
    }

    /// Runs `work` unless an earlier operation failed.
    fn fail_stop<T>(
        &mut self,
        work: impl FnOnce(&mut Self) -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        if self.failed {
            return Err(StorageError::FailedBefore);
        }
        let result = work(self);
        self.failed = result.is_err();
        result
    }

    fn buffer_work(&mut self, persist: &Persist) -> Result<(), StorageError> {
        assert!(persist.seq > self.pending, "storage work is in order");
        match &persist.work {
            PersistWork::Log {
                hard,
                truncate_from,
                entries,
            } => {
                if let Some(hard) = hard {
                    assert!(hard.term >= self.hard.term, "a stored term never decreases");
                    self.hard = hard.clone();
                }
                if let Some(from) = truncate_from {
                    self.log_end = self.log_end.min(from.prev());
                }
                self.log_end = entries.last().map_or(self.log_end, |e| e.index);
                let max = entries.iter().map(|e| e.index).max();
                self.file_max = self.file_max.max(max.unwrap_or_default());
                self.works.push(DiskWork {
                    hard: hard.as_ref().map(DiskHard::from),
                    truncate_from: truncate_from.map(|index| index.0),
                    entries: entries.iter().map(DiskEntry::from).collect(),
                });
            }
            PersistWork::Snapshot {
                snapshot,
                reset_log,
            } => self.save_snapshot(snapshot, *reset_log)?,
        }
        self.pending = persist.seq;
        Ok(())
    }

    fn sync_batch(&mut self) -> Result<PersistSeq, StorageError> {
        if self.works.is_empty() {
            return Ok(self.pending);
        }
        let batch = DiskBatch {
            number: self.batch + 1,
            start: None,
            works: std::mem::take(&mut self.works),
        };
        let mut buf = Vec::new();
        segment::encode(&self.file.name, &batch, &mut buf)?;
        self.files.append(&mut self.file, &buf)?;
        self.files.sync(&self.file)?;
        self.batch = batch.number;
        self.file_bytes += buf.len() as u64;
        self.syncs += 1;
        self.write_watermark()?;
        if self.file_bytes > self.segment_bytes {
            self.rotate(DiskStart::after(self.log_end))?;
        }
        Ok(self.pending)
    }

    fn write_watermark(&mut self) -> Result<(), StorageError> {
        self.watermark_synced = false;
        watermark::write(&self.files, &self.watermark, self.batch)
    }

    /// Saves a snapshot and deletes the segments that it includes.
    fn save_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), StorageError> {
        self.sync_batch()?;
        snapshot_file::save(&mut self.files, snapshot)?;
        let snapshot_end = snapshot.meta.index;
        if reset {
            self.log_end = snapshot_end;
            self.rotate(DiskStart::after_snapshot(snapshot_end))?;
        } else {
            self.rotate(DiskStart::after(self.log_end))?;
        }
        // Deleted from the oldest on, since a later segment may truncate entries of an earlier one. Each deletion is
        // synced: after a power failure those that were not may be undone in any combination, and a segment that is
        // kept without its successor looks like a log with a part missing.
        let is_covered = |closed: &mut ClosedSegment| reset || closed.max_index <= snapshot_end;
        while let Some(closed) = self.closed.pop_front_if(is_covered) {
            self.files.remove(&closed.name)?;
            self.files.sync_folder()?;
        }
        Ok(())
    }

    fn rotate(&mut self, start: DiskStart) -> Result<(), StorageError> {
        self.batch += 1;
        let (file, bytes) = start_segment(&mut self.files, self.batch, &self.hard, start)?;
        self.files.sync_folder()?;
        let old = std::mem::replace(&mut self.file, file);
        self.closed.push_back(ClosedSegment {
            name: old.name,
            max_index: std::mem::take(&mut self.file_max),
        });
        self.file_bytes = bytes;
        self.write_watermark()
    }
}
