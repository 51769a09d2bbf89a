//! Snapshot files: a frame with the place in the log, and a frame with the state machine.

use super::disk::DiskSnapshotMeta;
use super::files::Files;
use super::frame::{self, FrameAt};
use super::{StorageError, segment};
use crate::{LogIndex, Snapshot, SnapshotMeta};

const PREFIX: &str = "snap-";
const SUFFIX: &str = ".snap";

fn name_of(index: LogIndex) -> String {
    format!("{PREFIX}{:020}{SUFFIX}", index.0)
}

/// Whether `name` is that of a snapshot file.
pub(super) fn is_name(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(SUFFIX)
}

/// Saves a snapshot, and deletes older ones once it is synced.
pub(super) fn save(files: &mut Files, snapshot: &Snapshot) -> Result<(), StorageError> {
    let name = name_of(snapshot.meta.index);
    let mut buf = Vec::new();
    segment::encode(&name, &DiskSnapshotMeta::from(&snapshot.meta), &mut buf)?;
    segment::frame(&name, &snapshot.data, &mut buf)?;
    files.write_whole(&name, &buf)?;
    for older in files.list()?.iter().filter(|n| is_name(n) && **n < name) {
        files.remove(older)?;
    }
    Ok(())
}

/// Reads the newest snapshot. A damaged one is not passed over: the log before it is gone.
pub(super) fn read_newest(
    files: &Files,
    names: &[String],
) -> Result<Option<Snapshot>, StorageError> {
    match names.iter().filter(|n| is_name(n)).max() {
        Some(name) => read(files, name).map(Some),
        None => Ok(None),
    }
}

fn read(files: &Files, name: &str) -> Result<Snapshot, StorageError> {
    let buf = files.read(name)?;
    let corrupt = |offset: usize, why| StorageError::Corrupt {
        name: name.to_owned(),
        offset: offset as u64,
        why,
    };
    let FrameAt::Whole { payload, end } = frame::read_at(&buf, 0) else {
        return Err(corrupt(0, "it starts with no whole frame"));
    };
    let stored: DiskSnapshotMeta =
        postcard::from_bytes(payload).map_err(|_| corrupt(0, "its start can't be decoded"))?;
    let meta = SnapshotMeta::try_from(stored).map_err(|_| corrupt(0, "its format is not known"))?;
    let FrameAt::Whole { payload, .. } = frame::read_at(&buf, end) else {
        return Err(corrupt(end, "its data is no whole frame"));
    };
    Ok(Snapshot {
        meta,
        data: payload.into(),
    })
}
