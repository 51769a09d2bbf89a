//! Who acts: one run of one host's process, and one attempt of one entry.

use coltsfootnotch_types::{HostName, Incarnation};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One run of the process on one host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{host}/{incarnation}")]
pub struct ProcessId {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// One attempt to run a call, named by the entry that makes it.
///
/// An entry dispatches an attempt at most once, and never uses a number again, so that a command
/// which is proposed twice (its answer was lost) does the same thing twice in the ledger and nothing
/// twice in the world.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{entry}-{number}")]
pub struct AttemptId {
    /// The run of the entry's process.
    pub entry: Incarnation,
    /// Counted up by that process.
    pub number: u64,
}
