//! Actions that the core requests from its caller.

use std::sync::Arc;

use derive_more::Display;

use crate::{LogIndex, MemberId, Membership, Message, Persist, RoleKind, Snapshot, Term};

/// Identifies a linearizable read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ReadId(pub u64);

/// An action that the core requests. Actions must be started in the order given; sending and
/// storing may then proceed concurrently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send `msg` to `to`. The message may be lost, duplicated, delayed or reordered.
    Send {
        /// Receiver.
        to: MemberId,
        /// Message.
        msg: Message,
    },
    /// Write and sync, in order of the sequence numbers, then call [`crate::Core::synced`].
    Persist(Persist),
    /// The entry is committed: apply it to the state machine. Each entry is issued once per run of
    /// the process, in log order.
    Apply {
        /// Position in the log.
        index: LogIndex,
        /// Term, which distinguishes a local proposal from an entry that replaced it.
        term: Term,
        /// The command; `None` for internal entries (a new leader's no-op, membership changes).
        data: Option<Arc<[u8]>>,
    },
    /// The read may be answered from the state machine as applied so far.
    ReadReady {
        /// The read.
        id: ReadId,
        /// Last applied entry.
        index: LogIndex,
    },
    /// The member lost leadership before the read was confirmed; retry at the leader.
    ReadFailed {
        /// The read.
        id: ReadId,
        /// The leader, if known.
        hint: Option<MemberId>,
    },
    /// Encode the state machine as of `index` (nothing later has been applied) and pass it to
    /// [`crate::Core::snapshot_taken`].
    TakeSnapshot {
        /// The last entry applied.
        index: LogIndex,
    },
    /// Replace the state machine with the snapshot, which is already synced.
    InstallSnapshot(Snapshot),
    /// Role, term or known leader changed. When a leader steps down, the outcome of its uncommitted
    /// proposals is unknown; they may still commit.
    RoleChanged {
        /// New role.
        role: RoleKind,
        /// New term.
        term: Term,
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// The membership in force changed; connect to these members.
    MembersChanged {
        /// Membership of the latest membership entry in the log.
        members: Membership,
    },
}
