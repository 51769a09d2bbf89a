//! What the core wants done.

use std::sync::Arc;

use derive_more::Display;

use crate::{LogIndex, MemberId, Membership, Message, Persist, RoleKind, Snapshot, Term};

/// The number of a linearizable read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ReadId(pub u64);

/// What the core wants done. Actions are to be taken up in the order given; sending and storing
/// may then go on side by side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send `msg` to `to`. It may be lost, doubled, delayed or overtaken.
    Send {
        /// Receiver.
        to: MemberId,
        /// Message.
        msg: Message,
    },
    /// Write and sync, in the order of the numbers, then call [`crate::Core::synced`].
    Persist(Persist),
    /// The entry is committed: hand it to the state machine. Entries come once per run of the
    /// process, in the order of the log.
    Apply {
        /// Position.
        index: LogIndex,
        /// Term, to tell an own proposal from one that replaced it.
        term: Term,
        /// The command; absent where the entry is the log's own (a new leader, new members).
        data: Option<Arc<[u8]>>,
    },
    /// The state machine, with everything applied so far, may answer this read.
    ReadReady {
        /// The read.
        id: ReadId,
        /// Everything up to here was applied.
        index: LogIndex,
    },
    /// The member lost the leadership before the read was confirmed; ask the leader.
    ReadFailed {
        /// The read.
        id: ReadId,
        /// The leader, where it is known.
        hint: Option<MemberId>,
    },
    /// Encode the state machine as it is after `index` (nothing later was applied yet) and give
    /// it to [`crate::Core::snapshot_taken`].
    TakeSnapshot {
        /// The last entry applied.
        index: LogIndex,
    },
    /// Replace the state machine by the snapshot, which is synced.
    InstallSnapshot(Snapshot),
    /// Role, term or known leader changed. A leader that stops leading leaves proposals whose
    /// outcome is not known here; they may still commit.
    RoleChanged {
        /// New role.
        role: RoleKind,
        /// New term.
        term: Term,
        /// The leader, where it is known.
        leader: Option<MemberId>,
    },
    /// The members in force changed; connect to these.
    MembersChanged {
        /// Members by the last entry that states them.
        members: Membership,
    },
}
