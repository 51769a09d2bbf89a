//! The identity file.

use super::StorageError;
use super::files::Files;
use super::format::DiskIdentity;
use super::frame::{self, FrameAt};
use crate::MemberId;

/// Name of the identity file.
pub(super) const NAME: &str = "identity";

/// Reads the member that the folder belongs to.
pub(super) fn read(files: &Files) -> Result<MemberId, StorageError> {
    let corrupt = |why| StorageError::Corrupt {
        name: NAME.to_owned(),
        offset: 0,
        why,
    };
    let buf = files.read(NAME)?;
    let FrameAt::Complete { payload, .. } = frame::read_at(&buf, 0) else {
        return Err(corrupt("no complete frame"));
    };
    let stored: DiskIdentity =
        postcard::from_bytes(payload).map_err(|_| corrupt("the content can't be decoded"))?;
    MemberId::try_from(stored).map_err(|_| corrupt("unsupported format version"))
}

/// Writes the member that the folder belongs to.
pub(super) fn write(files: &mut Files, member: &MemberId) -> Result<(), StorageError> {
    let mut buf = Vec::new();
    super::segment::encode(NAME, &DiskIdentity::from(member), &mut buf)?;
    files.write_atomic(NAME, &buf)
}
