//! What can go wrong with the data folder. Every one of these stops the member.

use std::io;

use coltsfootnotch_types::HostName;
use derive_more::{Display, Error};

/// What went wrong with the data folder. The member must stop; a later start may recover.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[display("can't {doing} {name}")]
    Io {
        /// What was being done.
        doing: &'static str,
        /// The file.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// The disk is full; what could not be written was not acknowledged.
    #[display("the disk is full: can't {doing} {name}")]
    Full {
        /// What was being done.
        doing: &'static str,
        /// The file.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// A sync failed. What was written since the last sync may be lost, and is not synced again.
    #[display("can't sync {name}")]
    SyncFailed {
        /// The file or folder.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// Something that was synced can't be read any more.
    #[display("{name} is corrupt at byte {offset}: {why}")]
    Corrupt {
        /// The file.
        name: String,
        /// Place in the file, in bytes.
        offset: u64,
        /// What is wrong.
        why: &'static str,
    },
    /// The data folder was removed or replaced while the member ran.
    #[display("the data folder lost {name}")]
    FolderLost {
        /// The file that is gone.
        name: String,
    },
    /// The folder holds a log and no identity, so nobody knows whose promises these are.
    #[display("the data folder holds a log and no identity")]
    IdentityLost,
    /// The folder has an identity and no log: the log was lost, and with it votes and entries.
    #[display("the data folder has an identity and no log")]
    LogLost,
    /// The folder belongs to another host.
    #[display("the data folder belongs to {found}, not to {expected}")]
    OtherHost {
        /// The host that it belongs to.
        found: HostName,
        /// The host that opened it.
        expected: HostName,
    },
    /// Another process uses the folder.
    #[display("another process uses the data folder")]
    InUse,
    /// An earlier operation failed, and this one was not tried.
    #[display("the storage failed before")]
    FailedBefore,
}
