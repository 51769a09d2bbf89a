//! The thread that owns the data folder.
//!
//! It writes all queued work before each sync (group commit), so that sync latency doesn't limit the
//! commit rate.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use coltsfootnotch_consensus::storage::{Storage, StorageError};
use coltsfootnotch_consensus::{Persist, PersistSeq};
use coltsfootnotch_forward::registry::SaveRequest;

use super::{address_file, version_file};

/// Idle time after which the number of the last sync is synced as well.
const IDLE_SYNC_DELAY: Duration = Duration::from_millis(200);

/// Outcome of work on the data folder.
#[derive(Debug)]
pub(super) enum DiskReport {
    /// All writes up to this number are durable.
    Synced {
        /// The last durable write.
        seq: PersistSeq,
        /// Number of syncs since the start.
        syncs: u64,
    },
    /// The versions of services of the request with this number are durable.
    VersionsSaved(u64),
    /// The versions of services could not be made durable.
    VersionsNotSaved,
    /// The folder is unusable; the daemon must stop.
    Failed(StorageError),
}

/// Sends work to the thread, which exits when this is dropped.
pub(super) struct Disk {
    /// Absent on a host without a disk, which is never a member and persists nothing.
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
    Versions(SaveRequest),
}

impl Disk {
    /// Starts the thread, which calls `report` with each outcome.
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
        let worker = worker.expect("a host without a disk is never a member and persists nothing");
        // The thread exits early only after reporting a failure.
        let _ = worker.work.send(Work::Log(persist));
    }

    /// Stores the addresses of other control hosts.
    pub(super) fn save_addresses(&self, addresses: BTreeSet<SocketAddr>) {
        if let Some(worker) = &self.worker {
            // The thread exits early only after reporting a failure.
            let _ = worker.work.send(Work::Addresses(addresses));
        }
    }

    /// Stores versions of services, and reports whether they are durable.
    pub(super) fn save_versions(&self, req: SaveRequest) {
        if let Some(worker) = &self.worker {
            // The thread exits early only after reporting a failure.
            let _ = worker.work.send(Work::Versions(req));
        }
    }

    /// Completes all queued work and releases the folder.
    pub(super) fn close(self) {
        if let Some(Worker { work, thread }) = self.worker {
            drop(work);
            let _ = thread.join();
        }
    }
}

/// State owned by the thread.
struct Files {
    storage: Storage,
    dir: PathBuf,
}

fn run(files: &mut Files, rx: &Receiver<Work>, report: impl Fn(DiskReport)) {
    loop {
        let done = match rx.recv_timeout(IDLE_SYNC_DELAY) {
            Ok(first) => files.process_pending(first, rx, &report),
            Err(RecvTimeoutError::Timeout) => files.storage.sync_watermark(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if let Err(e) = done {
            return report(DiskReport::Failed(e));
        }
    }
}

impl Files {
    /// Writes all queued work, syncs the log once and reports what is durable.
    fn process_pending(
        &mut self,
        first: Work,
        rx: &Receiver<Work>,
        report: impl Fn(DiskReport),
    ) -> Result<(), StorageError> {
        let (mut addresses, mut versions) = (None, None);
        let mut to_sync = false;
        for work in std::iter::once(first).chain(rx.try_iter()) {
            match work {
                Work::Log(persist) => {
                    self.storage.persist(&persist)?;
                    to_sync = true;
                }
                Work::Addresses(newest) => addresses = Some(newest),
                Work::Versions(newest) => versions = Some(newest),
            }
        }
        if to_sync {
            let seq = self.storage.sync()?;
            let syncs = self.storage.syncs();
            report(DiskReport::Synced { seq, syncs });
        }
        if let Some(addresses) = addresses {
            self.save(&addresses);
        }
        if let Some(req) = versions {
            report(self.save_versions(&req));
        }
        Ok(())
    }

    /// Stores the versions. After a failure entries don't hear of upstreams of those that are new.
    fn save_versions(&self, req: &SaveRequest) -> DiskReport {
        match version_file::save(&self.dir, &req.stored) {
            Ok(()) => DiskReport::VersionsSaved(req.number),
            Err(e) => {
                log::warn!("failed to store the versions of services: {e}");
                DiskReport::VersionsNotSaved
            }
        }
    }

    /// Stores the addresses. A failure is only logged: a restart falls back to the seeds.
    fn save(&self, addresses: &BTreeSet<SocketAddr>) {
        if let Err(e) = address_file::save(&self.dir, addresses) {
            log::warn!("failed to store the addresses of other control hosts: {e}");
        }
    }
}
