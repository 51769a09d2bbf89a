//! Why bytes are not a command or a snapshot.

use derive_more::{Display, Error, From};

/// Why bytes from the log are not a command.
#[derive(Debug, Display, Error, From)]
pub enum CodecError {
    /// There are no bytes.
    #[display("a command has no bytes")]
    Empty,
    /// The command was written by a later program.
    #[display("a command has version {found}, which this program does not know")]
    #[from(skip)]
    Version {
        /// The version found.
        found: u8,
    },
    /// The codec refused the bytes.
    #[display("a command cannot be decoded")]
    Codec(postcard::Error),
    /// Bytes are left over after the command.
    #[display("a command is followed by {len} more bytes")]
    #[from(skip)]
    Trailing {
        /// How many bytes are left over.
        len: usize,
    },
}

/// Why bytes are not a snapshot of the state.
#[derive(Debug, Display, Error, From)]
pub enum SnapshotError {
    /// The header is cut off or is not one of a snapshot.
    #[display("a snapshot has no valid header")]
    Header,
    /// The snapshot was written by a later program.
    #[display("a snapshot has version {found}, which this program does not know")]
    #[from(skip)]
    Version {
        /// The version found.
        found: u16,
    },
    /// The checksum does not match.
    #[display("a snapshot has the checksum {found:08x} in place of {expected:08x}")]
    #[from(skip)]
    Checksum {
        /// Computed over the payload.
        found: u32,
        /// Read from the header.
        expected: u32,
    },
    /// The codec refused the payload.
    #[display("a snapshot cannot be decoded")]
    Codec(postcard::Error),
    /// The payload contradicts itself.
    #[display("a snapshot contradicts itself: {what}")]
    #[from(skip)]
    Inconsistent {
        /// What was found.
        #[error(not(source))]
        what: &'static str,
    },
}
