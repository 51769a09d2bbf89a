//! Test helpers: data folders, storage work and damaged files.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use coltsfootnotch_consensus::storage::{
    FaultInjector, FileOp, FileOpOutcome, Storage, StorageConfig,
};
use coltsfootnotch_consensus::{
    Entry, HardState, LogIndex, Payload, Persist, PersistSeq, PersistWork, Recovered, Snapshot,
    SnapshotMeta, Term,
};
use coltsfootnotch_types::HostName;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tempfile::TempDir;

pub(crate) type Opened = std::result::Result<(Storage, Recovered), String>;

pub(crate) fn open_with(dir: &Path, injector: FaultInjector) -> Opened {
    let mut cfg = StorageConfig::new(dir, HostName::new("control-0").expect("a valid name"));
    cfg.segment_bytes = 400;
    let opened = Storage::open_with(&cfg, injector, &mut StdRng::seed_from_u64(1));
    opened.map_err(|e| e.to_string())
}

pub(crate) fn open(dir: &Path) -> Opened {
    open_with(dir, Box::new(|_| FileOpOutcome::Proceed))
}

/// Injects the outcomes that `fails` returns; other operations proceed.
pub(crate) fn failing(
    fails: impl Fn(FileOp<'_>) -> Option<FileOpOutcome> + Send + 'static,
) -> FaultInjector {
    Box::new(move |op| fails(op).unwrap_or(FileOpOutcome::Proceed))
}

pub(crate) fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Data(Arc::from([index as u8; 20])),
    }
}

pub(crate) fn append(seq: u64, indexes: impl IntoIterator<Item = u64>) -> Persist {
    let work = PersistWork::Log {
        hard: Some(HardState {
            term: Term(seq),
            vote: None,
        }),
        truncate_from: None,
        entries: indexes.into_iter().map(|i| entry(i, 1)).collect(),
    };
    Persist {
        seq: PersistSeq(seq),
        work,
    }
}

pub(crate) fn snapshot(seq: u64, index: u64, reset_log: bool) -> Persist {
    let meta = SnapshotMeta {
        index: LogIndex(index),
        term: Term(1),
        ..SnapshotMeta::default()
    };
    let snapshot = Snapshot {
        meta,
        data: Arc::from([7; 1000]),
    };
    let work = PersistWork::Snapshot {
        snapshot,
        reset_log,
    };
    Persist {
        seq: PersistSeq(seq),
        work,
    }
}

/// A folder with entries 1 to 5, each synced separately.
pub(crate) fn folder_with_five_entries() -> TempDir {
    let dir = tempfile::tempdir().expect("a temporary folder can be created");
    let (mut storage, _) = open(dir.path()).expect("an empty folder opens");
    for index in 1..=5 {
        storage
            .run(&[append(index, [index])])
            .expect("the entry is synced");
    }
    dir
}

pub(crate) fn files_containing(dir: &Path, part: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).expect("the folder can be listed");
    let mut paths: Vec<_> = entries
        .map(|e| e.expect("the folder can be listed").path())
        .collect();
    paths.retain(|p| p.to_string_lossy().contains(part));
    paths.sort();
    paths
}

pub(crate) fn edit_file(path: &Path, edit: impl FnOnce(&mut Vec<u8>)) {
    let mut bytes = fs::read(path).expect("the file can be read");
    edit(&mut bytes);
    fs::write(path, bytes).expect("the file can be written");
}

/// The segment with the entries; later segments are empty.
pub(crate) fn log_file(dir: &Path) -> PathBuf {
    let mut segments = files_containing(dir, "log-");
    segments.sort_by_key(|p| fs::metadata(p).expect("the file exists").len());
    segments.pop().expect("the folder has a segment")
}

pub(crate) fn last_index(recovered: &Recovered) -> u64 {
    recovered.entries.last().map_or(0, |e| e.index.0)
}
