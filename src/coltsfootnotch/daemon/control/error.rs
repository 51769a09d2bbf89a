//! Errors of a control daemon.

use std::io;
use std::path::PathBuf;

use coltsfootnotch_consensus::LogIndex;
use coltsfootnotch_consensus::storage::StorageError;
use coltsfootnotch_fabric::{CredentialsError, EndpointError};
use coltsfootnotch_state::{CodecError, SnapshotError};
use derive_more::{Display, Error, From};

/// An error that prevents a control daemon from starting, or stops it.
#[derive(Debug, Display, Error, From)]
pub enum ControlError {
    /// The settings name no data folder.
    #[display("the settings name no data folder")]
    NoDataFolder,
    /// A certificate file can't be read.
    #[display("the key file {} can't be read", path.display())]
    #[from(skip)]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The certificate or key can't be used.
    #[display("the credentials can't be used")]
    Credentials(CredentialsError),
    /// The certificate was issued to another host or role.
    #[display("the certificate names another host or role")]
    OtherIdentity,
    /// The host is not in its own list of control hosts.
    #[display("the host is not in its list of control hosts")]
    NotListed,
    /// The fleet address can't be bound.
    #[display("the fleet endpoint can't be opened")]
    Endpoint(EndpointError),
    /// A thread can't be started, or stopped unexpectedly.
    #[display("a thread of the daemon failed")]
    #[from(skip)]
    Thread(io::Error),
    /// The start counter in the data folder can't be read or written.
    #[display("the start counter in the data folder can't be updated")]
    #[from(skip)]
    Epoch(io::Error),
    /// The stored addresses of the other control hosts can't be read.
    #[display("the addresses of the other control hosts can't be read")]
    #[from(skip)]
    Addresses(io::Error),
    /// The data folder can't be opened or is damaged.
    #[display("the data folder can't be opened")]
    #[from(skip)]
    Open(StorageError),
    /// A write could not be made durable; its content was not acknowledged.
    #[display("a write could not be made durable")]
    #[from(skip)]
    Write(StorageError),
    /// A snapshot passed its checksum but can't be decoded.
    #[display("a snapshot of the state can't be read")]
    Snapshot(SnapshotError),
    /// A committed command can't be decoded, as when another member runs a later version.
    #[display("the committed command at {index} can't be read")]
    #[from(skip)]
    Command {
        /// Its index in the log.
        index: LogIndex,
        /// The cause.
        source: CodecError,
    },
}

impl ControlError {
    /// Whether the stored data is damaged, so that this member has to be replaced.
    #[must_use]
    pub fn is_corrupt(&self) -> bool {
        match self {
            Self::Open(e) => matches!(
                e,
                StorageError::Corrupt { .. }
                    | StorageError::IdentityLost
                    | StorageError::LogLost
                    | StorageError::FolderLost { .. }
            ),
            Self::Snapshot(_) => true,
            _ => false,
        }
    }
}
