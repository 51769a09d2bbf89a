//! Initialisation of the data folder: new segments, the identity, and removal of temporary files.

use rand::Rng;

use super::files::{Files, OpenFile};
use super::format::{DiskBatch, DiskHard, DiskStart, DiskWork};
use super::{StorageConfig, StorageError, identity, segment, snapshot_file, watermark};
use crate::{DiskId, HardState, LogIndex, MemberId};

/// Creates a segment with its first batch, which contains the segment header and the current hard
/// state. The caller must sync the folder.
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

/// Removes temporary files that a crash left behind.
pub(super) fn remove_temporary_files(files: &mut Files) -> Result<(), StorageError> {
    for name in files.list()?.iter().filter(|n| n.ends_with(".tmp")) {
        files.remove(name)?;
    }
    Ok(())
}

/// Initialises a new folder. The identity is written after the first segment, so that an identity
/// without a log means that the log was lost.
pub(super) fn create_folder(
    files: &mut Files,
    names: &[String],
    cfg: &StorageConfig,
    rng: &mut impl Rng,
) -> Result<(), StorageError> {
    let first = segment::name_of(1);
    let belongs_to_existing_log = |n: &&String| {
        snapshot_file::is_name(n)
            || n.as_str() == watermark::NAME
            || (segment::is_name(n) && **n != first)
    };
    if names.iter().any(|n| belongs_to_existing_log(&n)) {
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
