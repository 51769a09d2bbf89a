//! Snapshots of the state machine, which replace the log up to an entry.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{LogIndex, Membership, Term};

/// Metadata of a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot includes.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The members as of that entry.
    pub members: Membership,
}

/// A snapshot of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Its metadata.
    pub meta: SnapshotMeta,
    /// The encoded state machine; opaque to the log.
    pub data: Arc<[u8]>,
}
