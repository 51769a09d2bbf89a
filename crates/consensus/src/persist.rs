//! Work for the storage, and the numbers by which the storage reports it synced.

use derive_more::Display;

use crate::{Entry, HardState, LogIndex, Snapshot};

/// The number of a piece of storage work; later work has a higher number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct PersistSeq(pub u64);

/// One piece of storage work. The pieces are done in the order of their numbers; one sync may
/// cover many (group commit), and [`crate::Core::synced`] is then told the last of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Persist {
    /// Its number.
    pub seq: PersistSeq,
    /// What to write.
    pub work: PersistWork,
}

/// What to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PersistWork {
    /// A change to the vote and to the end of the log.
    Log {
        /// The new vote, where it changed.
        hard: Option<HardState>,
        /// Entries from here on are void, where a new leader replaced them.
        truncate_from: Option<LogIndex>,
        /// Entries to append after that.
        entries: Vec<Entry>,
    },
    /// A snapshot to save. Entries up to its index may be deleted once it is synced.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the whole log goes, because it does not continue the snapshot.
        reset_log: bool,
    },
}
