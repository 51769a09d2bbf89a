//! Settings of the data folder.

use std::path::PathBuf;

use coltsfootnotch_types::HostName;

/// Settings of the data folder.
#[derive(Debug, Clone)]
pub struct StorageConfig {
    /// The data folder.
    pub dir: PathBuf,
    /// The host that the folder belongs to.
    pub host: HostName,
    /// Size in bytes beyond which a new segment is started.
    pub segment_bytes: u64,
}

/// Default size of a segment, in bytes.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

impl StorageConfig {
    /// Settings for the folder `dir` of `host`, with the default segment size.
    pub fn new(dir: impl Into<PathBuf>, host: HostName) -> Self {
        Self {
            dir: dir.into(),
            host,
            segment_bytes: SEGMENT_BYTES,
        }
    }
}
