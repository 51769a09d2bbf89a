//! Log segments: files of batches, one frame each.

use serde::Serialize;

use super::StorageError;
use super::files::Files;
use super::format::DiskBatch;
use super::frame::{self, FrameAt};

const PREFIX: &str = "log-";
const SUFFIX: &str = ".seg";

/// The name of the segment that starts with batch `number`.
pub(super) fn name_of(number: u64) -> String {
    format!("{PREFIX}{number:020}{SUFFIX}")
}

/// Whether `name` is the name of a segment.
pub(super) fn is_name(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(SUFFIX)
}

/// Appends a frame with `payload` to `buf`.
pub(super) fn frame(name: &str, payload: &[u8], buf: &mut Vec<u8>) -> Result<(), StorageError> {
    frame::encode(payload, buf).ok_or_else(|| StorageError::Io {
        operation: "frame the content of",
        name: name.to_owned(),
        source: std::io::ErrorKind::FileTooLarge.into(),
    })
}

/// Appends a frame with the encoded `value` to `buf`.
pub(super) fn encode(
    name: &str,
    value: &impl Serialize,
    buf: &mut Vec<u8>,
) -> Result<(), StorageError> {
    let payload = postcard::to_stdvec(value).map_err(|e| StorageError::Io {
        operation: "encode the content of",
        name: name.to_owned(),
        source: std::io::Error::other(e),
    })?;
    frame(name, &payload, buf)
}

/// Content of a segment.
pub(super) struct Content {
    pub(super) batches: Vec<DiskBatch>,
    /// The bytes of the complete frames.
    pub(super) bytes: Vec<u8>,
    complete: bool,
}

impl Content {
    /// Whether the file consists of complete frames only.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }
}

/// Reads a segment up to the first incomplete frame. A complete frame after it means that the
/// incomplete one had been synced, which is an error.
pub(super) fn read(files: &Files, name: &str) -> Result<Content, StorageError> {
    let mut bytes = files.read(name)?;
    let corrupt = |offset: usize, why| StorageError::Corrupt {
        name: name.to_owned(),
        offset: offset as u64,
        why,
    };
    let mut batches = Vec::new();
    let mut offset = 0;
    while let FrameAt::Complete { payload, end } = frame::read_at(&bytes, offset) {
        let batch = postcard::from_bytes(payload);
        batches.push(batch.map_err(|_| corrupt(offset, "a batch can't be decoded"))?);
        offset = end;
    }
    if frame::has_frame_after(&bytes, offset) {
        return Err(corrupt(offset, "a complete frame follows a damaged one"));
    }
    let complete = offset == bytes.len();
    bytes.truncate(offset);
    Ok(Content {
        batches,
        bytes,
        complete,
    })
}
