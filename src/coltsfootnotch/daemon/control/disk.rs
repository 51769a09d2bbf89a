//! The thread that owns the data folder.
//!
//! A sync takes milliseconds, in which many proposals arrive. The thread drains everything that
//! waits before it syncs once (group commit): without that, a burst of bookings would take one sync
//! each and the disk alone would bound the commits a second.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use coltsfootnotch_consensus::storage::{Storage, StorageError};
use coltsfootnotch_consensus::{Persist, PersistSeq};

use super::address_file;

/// Quiet time after which the number of the last sync is synced as well.
const SETTLE_AFTER: Duration = Duration::from_millis(200);

/// What became of work.
#[derive(Debug)]
pub(super) enum DiskReport {
    /// All work up to this number is durable.
    Synced {
        /// The last piece of work.
        seq: PersistSeq,
        /// Syncs so far.
        syncs: u64,
    },
    /// The folder can't be used any more; the daemon must stop.
    Failed(StorageError),
}

/// Hands work to the thread, which ends when this is dropped.
pub(super) struct Disk {
    /// Absent on a host without a disk, which is never a member and so has nothing to keep.
    worker: Option<Worker>,
}

struct Worker {
    work: Sender<Work>,
    thread: JoinHandle<()>,
}

/// Work for the thread.
enum Work {
    Log(Persist),
    Addresses(BTreeSet<SocketAddr>),
}

impl Disk {
    /// Starts the thread; `report` is called on it.
    pub(super) fn spawn(
        storage: Storage,
        dir: &Path,
        report: impl Fn(DiskReport) + Send + 'static,
    ) -> io::Result<Self> {
        let (work, rx) = mpsc::channel();
        let mut files = Files {
            storage,
            dir: dir.to_owned(),
        };
        let thread = thread::Builder::new()
            .name("control-disk".to_owned())
            .spawn(move || run(&mut files, &rx, report))?;
        let worker = Some(Worker { work, thread });
        Ok(Self { worker })
    }

    /// For a host without a disk.
    pub(super) fn none() -> Self {
        Self { worker: None }
    }

    pub(super) fn persist(&self, persist: Persist) {
        let worker = self.worker.as_ref();
        let worker = worker.expect("a host without a disk is no member, and persists nothing");
        // The thread ends early only after it has reported why.
        let _ = worker.work.send(Work::Log(persist));
    }

    /// Keeps the addresses of other control hosts.
    pub(super) fn keep_addresses(&self, addresses: BTreeSet<SocketAddr>) {
        if let Some(worker) = &self.worker {
            // The thread ends early only after it has reported why.
            let _ = worker.work.send(Work::Addresses(addresses));
        }
    }

    /// Waits until all work is done and the folder is released.
    pub(super) fn close(self) {
        if let Some(Worker { work, thread }) = self.worker {
            drop(work);
            let _ = thread.join();
        }
    }
}

/// What the thread owns.
struct Files {
    storage: Storage,
    dir: PathBuf,
}

fn run(files: &mut Files, rx: &Receiver<Work>, report: impl Fn(DiskReport)) {
    loop {
        let done = match rx.recv_timeout(SETTLE_AFTER) {
            Ok(first) => files.take_up(first, rx),
            Err(RecvTimeoutError::Timeout) => files.storage.sync_watermark().map(|()| None),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        match done {
            Ok(Some(seq)) => report(DiskReport::Synced {
                seq,
                syncs: files.storage.syncs(),
            }),
            Ok(None) => {}
            Err(e) => return report(DiskReport::Failed(e)),
        }
    }
}

impl Files {
    /// Does everything that waits; the last work of the log that is synced, if there was any.
    fn take_up(
        &mut self,
        first: Work,
        rx: &Receiver<Work>,
    ) -> Result<Option<PersistSeq>, StorageError> {
        let mut addresses = None;
        let mut to_sync = false;
        for work in std::iter::once(first).chain(rx.try_iter()) {
            match work {
                Work::Log(persist) => {
                    self.storage.persist(&persist)?;
                    to_sync = true;
                }
                Work::Addresses(newest) => addresses = Some(newest),
            }
        }
        let synced = to_sync.then(|| self.storage.sync()).transpose()?;
        if let Some(addresses) = addresses {
            self.keep(&addresses);
        }
        Ok(synced)
    }

    /// Without the file a restart has only the seeds, as a new host does, so a failure ends nothing.
    fn keep(&self, addresses: &BTreeSet<SocketAddr>) {
        if let Err(e) = address_file::save(&self.dir, addresses) {
            log::warn!("the addresses of the other control hosts are not kept: {e}");
        }
    }
}
