//! The thread that owns the data folder.
//!
//! A sync takes milliseconds, in which many proposals arrive. The thread drains everything that
//! waits before it syncs once (group commit): without that, a burst of bookings would take one sync
//! each and the disk alone would bound the commits a second.

use std::io;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use coltsfootnotch_consensus::storage::{Storage, StorageError};
use coltsfootnotch_consensus::{Persist, PersistSeq};

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
    work: Sender<Persist>,
    thread: JoinHandle<()>,
}

impl Disk {
    /// Starts the thread; `report` is called on it.
    pub(super) fn spawn(
        storage: Storage,
        report: impl Fn(DiskReport) + Send + 'static,
    ) -> io::Result<Self> {
        let (work, rx) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("control-disk".to_owned())
            .spawn(move || run(storage, &rx, report))?;
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
        let _ = worker.work.send(persist);
    }

    /// Waits until all work is done and the folder is released.
    pub(super) fn close(self) {
        if let Some(Worker { work, thread }) = self.worker {
            drop(work);
            let _ = thread.join();
        }
    }
}

fn run(mut storage: Storage, rx: &Receiver<Persist>, report: impl Fn(DiskReport)) {
    loop {
        let done = match rx.recv_timeout(SETTLE_AFTER) {
            Ok(first) => sync(&mut storage, &first, rx).map(Some),
            Err(RecvTimeoutError::Timeout) => storage.settle().map(|()| None),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        match done {
            Ok(Some(seq)) => report(DiskReport::Synced {
                seq,
                syncs: storage.syncs(),
            }),
            Ok(None) => {}
            Err(e) => return report(DiskReport::Failed(e)),
        }
    }
}

fn sync(
    storage: &mut Storage,
    first: &Persist,
    rx: &Receiver<Persist>,
) -> Result<PersistSeq, StorageError> {
    storage.persist(first)?;
    while let Ok(more) = rx.try_recv() {
        storage.persist(&more)?;
    }
    storage.sync()
}
