//! Settings of the data folder.

use std::path::PathBuf;

use coltsfootnotch_types::HostName;

/// Settings of the data folder.
#[derive(Debug, Clone)]
pub struct StorageConfig {
    /// The data folder.
    pub dir: PathBuf,
    /// The host that it belongs to.
    pub host: HostName,
    /// A new segment is started when one has grown beyond this many bytes.
    pub segment_bytes: u64,
}

/// Small enough that a snapshot soon frees the segments before it, large enough to be rare.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

impl StorageConfig {
    /// The settings for `dir` of `host`, with the usual size of segments.
    pub fn new(dir: impl Into<PathBuf>, host: HostName) -> Self {
        Self {
            dir: dir.into(),
            host,
            segment_bytes: SEGMENT_BYTES,
        }
    }
}
