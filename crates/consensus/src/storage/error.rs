//! Storage errors.

use std::io;

use coltsfootnotch_types::HostName;
use derive_more::{Display, Error};

/// An error of the data folder. The member must stop; a restart may recover.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[display("can't {operation} {name}")]
    Io {
        /// The failed operation.
        operation: &'static str,
        /// The file.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// The disk is full. Data that could not be written was not acknowledged.
    #[display("the disk is full: can't {operation} {name}")]
    Full {
        /// The failed operation.
        operation: &'static str,
        /// The file.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// A sync failed. Data written since the last sync may be lost; the sync is not retried.
    #[display("can't sync {name}")]
    SyncFailed {
        /// The file or folder.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// Data that was synced is damaged or missing.
    #[display("{name} is corrupt at byte {offset}: {why}")]
    Corrupt {
        /// The file.
        name: String,
        /// Offset in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        why: &'static str,
    },
    /// The data folder was removed or replaced while in use.
    #[display("the data folder no longer contains {name}")]
    FolderLost {
        /// The missing file.
        name: String,
    },
    /// The folder has a log but no identity, so the member that it belongs to is unknown.
    #[display("the data folder has a log but no identity")]
    IdentityLost,
    /// The folder has an identity but no log: votes and entries are lost.
    #[display("the data folder has an identity but no log")]
    LogLost,
    /// The folder belongs to another host.
    #[display("the data folder belongs to {found}, not to {expected}")]
    OtherHost {
        /// The host that the folder belongs to.
        found: HostName,
        /// The host that opened it.
        expected: HostName,
    },
    /// Another process uses the folder.
    #[display("another process uses the data folder")]
    InUse,
    /// An earlier operation failed, so this one was not attempted.
    #[display("an earlier storage operation failed")]
    FailedBefore,
}
