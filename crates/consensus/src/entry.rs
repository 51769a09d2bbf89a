//! Log entries, indexes and terms.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Membership;

/// A position in the log. The first entry has index 1; 0 means before the first entry.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The position after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one; 0 stays 0.
    #[must_use]
    pub fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// An election term; each term has at most one leader.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader's term. Entries of earlier terms become committed only when an
    /// entry of the leader's term follows them on a majority.
    Noop,
    /// The membership of the group from this entry on.
    Members(Membership),
    /// A command for the state machine.
    Data(#[serde(with = "coltsfootnotch_types::bytes_format")] Arc<[u8]>),
}

impl Payload {
    /// Approximate size of the payload in bytes, used to bound messages and files.
    #[must_use]
    pub fn len(&self) -> usize {
        const MEMBER_BYTES: usize = 96;
        match self {
            Self::Noop => 0,
            Self::Members(members) => members.all().count() * MEMBER_BYTES,
            Self::Data(data) => data.len(),
        }
    }

    /// Whether the payload has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: LogIndex,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

/// The position of a proposed command in the log.
///
/// The command took effect if [`crate::Action::Apply`] is issued with the same index and term.
/// Another term at that index means that the command was replaced and will never take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term of the leader that accepted the proposal.
    pub term: Term,
}
