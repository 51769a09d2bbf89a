//! Log segments: files of batches, one frame each.

use serde::Serialize;

use super::StorageError;
use super::disk::DiskBatch;
use super::files::Files;
use super::frame::{self, FrameAt};

const PREFIX: &str = "log-";
const SUFFIX: &str = ".seg";

/// The name of the segment that starts with batch `number`.
pub(super) fn name_of(number: u64) -> String {
    format!("{PREFIX}{number:020}{SUFFIX}")
}

/// Whether `name` is that of a segment.
pub(super) fn is_name(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(SUFFIX)
}

/// Appends a frame around `payload` to `buf`.
pub(super) fn frame(name: &str, payload: &[u8], buf: &mut Vec<u8>) -> Result<(), StorageError> {
    frame::encode(payload, buf).ok_or_else(|| StorageError::Io {
        doing: "frame the content of",
        name: name.to_owned(),
        source: std::io::ErrorKind::FileTooLarge.into(),
    })
}

/// Appends a frame around the encoded `value` to `buf`.
pub(super) fn encode(
    name: &str,
    value: &impl Serialize,
    buf: &mut Vec<u8>,
) -> Result<(), StorageError> {
    let payload = postcard::to_stdvec(value).map_err(|e| StorageError::Io {
        doing: "encode the content of",
        name: name.to_owned(),
        source: std::io::Error::other(e),
    })?;
    frame(name, &payload, buf)
}

/// What a segment holds.
pub(super) struct Content {
    pub(super) batches: Vec<DiskBatch>,
    /// The bytes of the whole frames.
    pub(super) bytes: Vec<u8>,
    whole: bool,
}

impl Content {
    /// Whether nothing but whole frames was found.
    pub(super) fn is_whole(&self) -> bool {
        self.whole
    }
}

/// Reads a segment up to the first frame that is not whole. A whole frame behind that is proof
/// that the broken one had been synced, and an error.
pub(super) fn read(files: &Files, name: &str) -> Result<Content, StorageError> {
    let mut bytes = files.read(name)?;
    let corrupt = |offset: usize, why| StorageError::Corrupt {
        name: name.to_owned(),
        offset: offset as u64,
        why,
    };
    let mut batches = Vec::new();
    let mut offset = 0;
    while let FrameAt::Whole { payload, end } = frame::read_at(&bytes, offset) {
        let batch = postcard::from_bytes(payload);
        batches.push(batch.map_err(|_| corrupt(offset, "a batch can't be decoded"))?);
        offset = end;
    }
    if frame::any_after(&bytes, offset) {
        return Err(corrupt(offset, "a whole frame follows a broken one"));
    }
    let whole = offset == bytes.len();
    bytes.truncate(offset);
    Ok(Content {
        batches,
        bytes,
        whole,
    })
}
