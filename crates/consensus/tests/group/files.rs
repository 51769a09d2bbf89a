//! Real files that receive the same work as a fake disk.

use coltsfootnotch_consensus::storage::{FileOp, FileOpOutcome, Storage, StorageConfig};
use coltsfootnotch_consensus::{Persist, Recovered};
use coltsfootnotch_types::HostName;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tempfile::TempDir;

pub(crate) struct Files {
    cfg: StorageConfig,
    storage: Option<Storage>,
    _dir: TempDir,
}

impl Files {
    pub(crate) fn new(host: &HostName) -> Self {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let mut cfg = StorageConfig::new(dir.path(), host.clone());
        cfg.segment_bytes = 500;
        Self {
            cfg,
            storage: None,
            _dir: dir,
        }
    }

    pub(crate) fn write(&mut self, works: &[Persist]) {
        let storage = self.storage.as_mut().expect("the storage is open");
        storage.run(works).expect("the disk works");
    }

    /// Closes the files as in a crash, and returns their content.
    pub(crate) fn reopen(&mut self) -> Recovered {
        self.storage = None;
        let injector = |op: FileOp<'_>| match op {
            FileOp::Sync { .. } | FileOp::SyncFolder => FileOpOutcome::Skip,
            _ => FileOpOutcome::Proceed,
        };
        let rng = &mut StdRng::seed_from_u64(1);
        let opened = Storage::open_with(&self.cfg, Box::new(injector), rng);
        let (storage, recovered) = opened.expect("the disk works");
        self.storage = Some(storage);
        recovered
    }
}
