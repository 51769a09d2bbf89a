//! Identifiers of processes and attempts.

use coltsfootnotch_types::{HostName, Incarnation};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A run of the process on a host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{host}/{incarnation}")]
pub struct ProcessId {
    /// The host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// An attempt to run a call, identified by the entry that created it.
///
/// An entry dispatches an attempt at most once and never reuses a number, so a command that is
/// proposed again after its reply was lost is idempotent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{entry}-{number}")]
pub struct AttemptId {
    /// The run of the entry's process.
    pub entry: Incarnation,
    /// Sequence number within that run.
    pub number: u64,
}
