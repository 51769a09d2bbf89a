//! Errors in decoding commands and snapshots.

use derive_more::{Display, Error, From};

/// Errors in decoding a command.
#[derive(Debug, Display, Error, From)]
pub enum CodecError {
    /// There are no bytes.
    #[display("the command is empty")]
    Empty,
    /// The format version is unsupported.
    #[display("unsupported command version {found}")]
    #[from(skip)]
    Version {
        /// The version found.
        found: u8,
    },
    /// The bytes are malformed.
    #[display("failed to decode the command")]
    Codec(postcard::Error),
    /// Bytes follow the command.
    #[display("{len} trailing bytes after the command")]
    #[from(skip)]
    Trailing {
        /// Number of trailing bytes.
        len: usize,
    },
}

/// Errors in decoding a snapshot.
#[derive(Debug, Display, Error, From)]
pub enum SnapshotError {
    /// The header is truncated or lacks the magic number.
    #[display("invalid snapshot header")]
    Header,
    /// The format version is unsupported.
    #[display("unsupported snapshot version {found}")]
    #[from(skip)]
    Version {
        /// The version found.
        found: u16,
    },
    /// The checksum does not match.
    #[display("snapshot checksum mismatch: expected {expected:08x}, found {found:08x}")]
    #[from(skip)]
    Checksum {
        /// Checksum of the payload.
        found: u32,
        /// Checksum in the header.
        expected: u32,
    },
    /// The payload is malformed.
    #[display("failed to decode the snapshot")]
    Codec(postcard::Error),
    /// The payload is inconsistent.
    #[display("inconsistent snapshot: {what}")]
    #[from(skip)]
    Inconsistent {
        /// The inconsistency.
        #[error(not(source))]
        what: &'static str,
    },
}
