//! The watermark: a file with the number of the last synced batch.
//!
//! It is written after each sync of the log, so it never includes a batch that was not synced. It
//! is synced only when idle, so after a power failure it may be outdated. It distinguishes a
//! damaged last frame of the log from a torn write.

use super::StorageError;
use super::files::{Files, OpenFile};

/// Name of the file.
pub(super) const NAME: &str = "synced";
/// Size of the number and its checksum.
const BYTES: usize = 12;

/// The last batch known to be synced; 0 if the file is missing or invalid.
pub(super) fn read(files: &Files, names: &[String]) -> Result<u64, StorageError> {
    if !names.iter().any(|n| n == NAME) {
        return Ok(0);
    }
    let buf = files.read(NAME)?;
    Ok(decode(&buf).unwrap_or(0))
}

fn decode(buf: &[u8]) -> Option<u64> {
    let (number, rest) = buf.split_first_chunk::<8>()?;
    let crc = rest.first_chunk::<4>()?;
    let valid = crc32fast::hash(number) == u32::from_le_bytes(*crc);
    valid.then(|| u64::from_le_bytes(*number))
}

/// Records that batch `number` is synced.
pub(super) fn write(files: &Files, file: &OpenFile, number: u64) -> Result<(), StorageError> {
    let number = number.to_le_bytes();
    let mut bytes = [0; BYTES];
    bytes[..8].copy_from_slice(&number);
    bytes[8..].copy_from_slice(&crc32fast::hash(&number).to_le_bytes());
    files.overwrite(file, &bytes)
}
