//! Replicated log (Raft) without I/O, and its durable storage.
//!
//! A command is proposed to the leader with [`Core::propose`]. It becomes an [`Entry`] with an
//! index and a term, which is sent to the other members as a [`Message`] and written to the data
//! folder as a [`Persist`], both through the [`Action`]s of [`Core::take_actions`]. Once a majority
//! of the voters has synced the entry it is committed, and every member applies it to its state
//! machine ([`Action::Apply`]) in log order. A [`Snapshot`] of the state machine periodically
//! replaces the beginning of the log.
//!
//! [`Core`] performs no I/O: its inputs are time, randomness and messages, its outputs are actions.
//! [`storage::Storage`] stores what the core persists in checksummed, synced files.
//!
//! Messages that depend on durable state (votes, acknowledged entries) are held in the core until
//! [`Core::synced`] covers them. This guards against a member that recovers from a crash with less
//! than it acknowledged, and thereby against the loss of acknowledged changes.

mod action;
mod config;
mod core;
mod entry;
mod error;
mod hard_state;
mod log;
mod member;
mod membership;
mod message;
mod outbox;
mod peer_status;
mod persist;
mod progress;
mod recovered;
mod role;
mod snapshot;
mod status;
pub mod storage;

pub use crate::action::{Action, ReadId};
pub use crate::config::CoreConfig;
pub use crate::core::Core;
pub use crate::entry::{Entry, LogIndex, Payload, Proposal, Term};
pub use crate::error::{
    BootstrapRefused, ChangeRefused, NotLeader, ProposeRefused, TransferRefused,
};
pub use crate::hard_state::HardState;
pub use crate::member::{DiskId, MemberId};
pub use crate::membership::{MemberChange, Membership};
pub use crate::message::{Body, Message};
pub use crate::peer_status::PeerStatus;
pub use crate::persist::{Persist, PersistSeq, PersistWork};
pub use crate::recovered::Recovered;
pub use crate::role::RoleKind;
pub use crate::snapshot::{Snapshot, SnapshotMeta};
pub use crate::status::Status;

/// The types that most users of the replicated log need.
pub mod prelude {
    pub use crate::storage::{Storage, StorageConfig, StorageError};

    pub use crate::{
        Action, Core, CoreConfig, Entry, LogIndex, MemberChange, MemberId, Membership, Message,
        Persist, Proposal, Recovered, Snapshot, Term,
    };
}
