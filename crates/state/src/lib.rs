//! What the replicated log is applied to: configuration, the ledger of calls that may not be
//! repeated, leases with fencing numbers, and finished orders to engines.
//!
//! A host proposes a [`Command`]; the control group commits it at an index of its log; every member
//! then calls [`StateMachine::apply`] in the order of the log and gets the same [`Reply`]. Nothing
//! here reads a clock, draws a random number or does I/O, so that members with the same log hold the
//! same state. Time enters only as the [`LogTime`] that the leader stamps on each command (see
//! [`LeaderClock`]).
//!
//! Input that breaks the protocol (a host that reports the outcome of an attempt which its sidecar
//! disowned) is refused and counted, never a panic: a panic while applying would repeat on every
//! member after each restart. `assert!` guards what this package alone is responsible for.

mod clock;
mod command;
mod config;
mod digest;
mod drift;
mod error;
mod fence;
mod finished;
mod holder;
mod key;
mod lease;
mod ledger;
mod limits;
mod machine;
mod orders;
mod outcome;
mod process;
mod record;
mod reply;
mod snapshot;
mod store;
mod usage;

pub use clock::{LeaderClock, LogTime};
pub use command::{
    ApplyConfig, Close, Command, Disowned, Grant, Intent, LedgerOp, Op, OrderDone, Record, Release,
    Renew, Settle,
};
pub use config::{Accepted, ConfigState};
pub use digest::{BodyDigest, KeyDigest};
pub use drift::DriftBound;
pub use error::{CodecError, SnapshotError};
pub use fence::{FenceCheck, FencingNumber};
pub use finished::{Finished, FinishedOrders};
pub use holder::{Guard, LeaseHolder};
pub use key::{IdempotencyKey, KeyError};
pub use lease::{Lease, Leases};
pub use ledger::{Ledger, LedgerCounters};
pub use limits::LedgerLimits;
pub use machine::StateMachine;
pub use orders::{Action, Desired, Order, Placement, Reconcile, Reported, next_action, reconcile};
pub use outcome::{Outcome, RecordedBody};
pub use process::{AttemptId, ProcessId};
pub use record::{BookingRecord, BookingState};
pub use reply::{ConfigReply, LeaseReply, LedgerRefusal, LedgerReply, OrderReply, Reply};
pub use store::{StoreLimit, WeightStore};
pub use usage::Usage;

/// The types that nearly every user of this package needs.
pub mod prelude {
    pub use crate::{
        AttemptId, BodyDigest, Command, IdempotencyKey, KeyDigest, LedgerOp, LogTime, Op, Outcome,
        ProcessId, Reply, StateMachine,
    };
}
