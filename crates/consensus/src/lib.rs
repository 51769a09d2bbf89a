//! Replicated log without I/O, and its synced files.
//!
//! A change enters through [`Core::propose`] on the leader. It becomes an [`Entry`] with an index
//! and a term, goes to the other members as a [`Message`] and to the data folder as a [`Persist`],
//! both through the [`Action`]s of [`Core::take_actions`]. Once a majority of the members has it
//! synced it is committed, and every member hands it to its state machine ([`Action::Apply`]) in
//! the one order of the log. From time to time a [`Snapshot`] of the state machine replaces the
//! beginning of the log.
//!
//! [`Core`] decides and does no I/O: time, randomness and messages go in, actions come out.
//! [`storage::Storage`] keeps what the core persists in checksummed, synced files.
//!
//! No member says that it holds something before its storage has said so: messages that promise
//! (votes, acknowledged entries) wait inside the core until [`Core::synced`] covers them. A member
//! that crashed would otherwise come back with less than it had promised, and a change that was
//! acknowledged to an operator could be lost.

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

/// The types that nearly every user of the replicated log needs.
pub mod prelude {
    pub use crate::storage::{Storage, StorageConfig, StorageError};

    pub use crate::{
        Action, Core, CoreConfig, Entry, LogIndex, MemberChange, MemberId, Membership, Message,
        Persist, Proposal, Recovered, Snapshot, Term,
    };
}
