//! The identity file.

use super::StorageError;
use super::disk::DiskIdentity;
use super::files::Files;
use super::frame::{self, FrameAt};
use crate::MemberId;

/// Name of the identity file.
pub(super) const NAME: &str = "identity";

/// Reads whose folder it is.
pub(super) fn read(files: &Files) -> Result<MemberId, StorageError> {
    let corrupt = |why| StorageError::Corrupt {
        name: NAME.to_owned(),
        offset: 0,
        why,
    };
    let buf = files.read(NAME)?;
    let FrameAt::Whole { payload, .. } = frame::read_at(&buf, 0) else {
        return Err(corrupt("it holds no whole frame"));
    };
    let stored: DiskIdentity =
        postcard::from_bytes(payload).map_err(|_| corrupt("it can't be decoded"))?;
    MemberId::try_from(stored).map_err(|_| corrupt("its format is not known"))
}

/// Writes whose folder it is.
pub(super) fn write(files: &mut Files, member: &MemberId) -> Result<(), StorageError> {
    let mut buf = Vec::new();
    super::segment::encode(NAME, &DiskIdentity::from(member), &mut buf)?;
    files.write_whole(NAME, &buf)
}
