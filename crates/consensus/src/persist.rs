//! Storage work and its sequence numbers.

use derive_more::Display;

use crate::{Entry, HardState, LogIndex, Snapshot};

/// Sequence number of a piece of storage work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct PersistSeq(pub u64);

/// A piece of storage work. Work is executed in order of the sequence numbers; one sync may cover
/// several pieces (group commit), and [`crate::Core::synced`] then takes the last of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Persist {
    /// Its sequence number.
    pub seq: PersistSeq,
    /// The content to write.
    pub work: PersistWork,
}

/// Content of a piece of storage work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PersistWork {
    /// A change to the hard state and to the end of the log.
    Log {
        /// The new term and vote, if changed.
        hard: Option<HardState>,
        /// Index from which on entries are removed, if a new leader replaced them.
        truncate_from: Option<LogIndex>,
        /// Entries to append after the truncation.
        entries: Vec<Entry>,
    },
    /// A snapshot to save. Entries up to its index may be deleted once it is synced.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether to remove the whole log because it does not continue the snapshot.
        reset_log: bool,
    },
}
