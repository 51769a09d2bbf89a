//! The state of the state machine after one entry, which replaces the log up to it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{LogIndex, Membership, Term};

/// What a snapshot stands for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot includes.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The members as of that entry.
    pub members: Membership,
}

/// A snapshot: its place in the log and the state machine's own bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Its place in the log.
    pub meta: SnapshotMeta,
    /// The state machine, in the state machine's own encoding.
    pub data: Arc<[u8]>,
}
