//! Snapshot files: a frame with the metadata and a frame with the state machine.

use super::files::Files;
use super::format::{DiskSnapshotMeta, decode_snapshot_meta};
use super::frame::{self, FrameAt};
use super::{StorageError, segment};
use crate::{LogIndex, Snapshot};

const PREFIX: &str = "snap-";
const SUFFIX: &str = ".snap";

fn name_of(index: LogIndex) -> String {
    format!("{PREFIX}{:020}{SUFFIX}", index.0)
}

/// Whether `name` is the name of a snapshot file.
pub(super) fn is_name(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(SUFFIX)
}

/// Saves a snapshot and deletes older ones once it is synced.
pub(super) fn save(files: &mut Files, snapshot: &Snapshot) -> Result<(), StorageError> {
    let name = name_of(snapshot.meta.index);
    let mut buf = Vec::new();
    segment::encode(&name, &DiskSnapshotMeta::from(&snapshot.meta), &mut buf)?;
    segment::frame(&name, &snapshot.data, &mut buf)?;
    files.write_atomic(&name, &buf)?;
    for older in files.list()?.iter().filter(|n| is_name(n) && **n < name) {
        files.remove(older)?;
    }
    Ok(())
}

/// Reads the newest snapshot. If it is damaged, there is no fallback to an older one, since the log
/// before it is deleted.
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
    let FrameAt::Complete { payload, end } = frame::read_at(&buf, 0) else {
        return Err(corrupt(0, "the metadata is not a complete frame"));
    };
    let meta = decode_snapshot_meta(payload).map_err(|why| corrupt(0, why))?;
    let FrameAt::Complete { payload, .. } = frame::read_at(&buf, end) else {
        return Err(corrupt(end, "the data is not a complete frame"));
    };
    Ok(Snapshot {
        meta,
        data: payload.into(),
    })
}
