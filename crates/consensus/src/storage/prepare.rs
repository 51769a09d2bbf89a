//! Making new files in the data folder, and clearing away unfinished ones.

use rand::Rng;

use super::disk::{DiskBatch, DiskHard, DiskStart, DiskWork};
use super::files::{Files, OpenFile};
use super::{StorageConfig, StorageError, identity, segment, snapshot_file, watermark};
use crate::{DiskId, HardState, LogIndex, MemberId};

/// Starts a segment with its first batch, which repeats the vote and states what goes before. The
/// folder is not synced yet.
pub(super) fn start_segment(
    files: &mut Files,
    number: u64,
    hard: &HardState,
    start: DiskStart,
) -> Result<(OpenFile, u64), StorageError> {
    let mut file = files.create(&segment::name_of(number))?;
    let batch = DiskBatch {
        number,
        start: Some(start),
        works: vec![DiskWork {
            hard: Some(DiskHard::from(hard)),
            truncate_from: None,
            entries: Vec::new(),
        }],
    };
    let mut buf = Vec::new();
    segment::encode(&file.name, &batch, &mut buf)?;
    files.append(&mut file, &buf)?;
    files.sync(&file)?;
    Ok((file, buf.len() as u64))
}

/// Removes what a crash left of files that were being written whole.
pub(super) fn remove_unfinished(files: &mut Files) -> Result<(), StorageError> {
    for name in files.list()?.iter().filter(|n| n.ends_with(".tmp")) {
        files.remove(name)?;
    }
    Ok(())
}

/// Makes a new folder: the first segment, and the identity last, so that an identity without a
/// log is known to be a loss.
pub(super) fn create(
    files: &mut Files,
    names: &[String],
    cfg: &StorageConfig,
    rng: &mut impl Rng,
) -> Result<(), StorageError> {
    let first = segment::name_of(1);
    let other = |n: &&String| {
        snapshot_file::is_name(n)
            || n.as_str() == watermark::NAME
            || (segment::is_name(n) && **n != first)
    };
    if names.iter().any(|n| other(&n)) {
        return Err(StorageError::IdentityLost);
    }
    let start = DiskStart::after(LogIndex(0));
    start_segment(files, 1, &HardState::default(), start)?;
    files.sync_folder()?;
    let member = MemberId {
        host: cfg.host.clone(),
        disk: DiskId::random(rng),
    };
    identity::write(files, &member)
}
