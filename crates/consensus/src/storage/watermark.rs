//! The number of the last synced batch, in a file of its own.
//!
//! Written after each sync of the log, it never names a batch that was not synced. It is itself
//! synced only at leisure, so after a loss of power it may name an older one. It tells a frame that
//! was damaged at the very end of the log from one that a crash cut short.

use super::StorageError;
use super::files::{Files, OpenFile};

/// Name of the file.
pub(super) const NAME: &str = "synced";
/// A number and its checksum.
const BYTES: usize = 12;

/// The last batch known to be synced; 0 where the file says nothing.
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
    let sound = crc32fast::hash(number) == u32::from_le_bytes(*crc);
    sound.then(|| u64::from_le_bytes(*number))
}

/// Notes that batch `number` is synced.
pub(super) fn write(files: &Files, file: &OpenFile, number: u64) -> Result<(), StorageError> {
    let number = number.to_le_bytes();
    let mut bytes = [0; BYTES];
    bytes[..8].copy_from_slice(&number);
    bytes[8..].copy_from_slice(&crc32fast::hash(&number).to_le_bytes());
    files.overwrite(file, &bytes)
}
