//! The replicated state machine: configuration, evacuated failure domains, the ledger of
//! at-most-once calls, leases with fencing numbers, and finished orders to engines.
//!
//! A host proposes a [`Command`], the control group commits it at an index of its log, and every
//! member calls [`StateMachine::apply`] in log order and gets the same [`Reply`]. The state machine
//! reads no clock, uses no randomness and does no I/O, so that members with the same log have the
//! same state. Its only time is the [`LogTime`] that the leader stamps on each command (see
//! [`LeaderClock`]).
//!
//! Input that violates the protocol, such as the outcome of a closed attempt, is refused and
//! counted. It never causes a panic, since every member would panic again after each restart.
//! `assert!` checks invariants of this crate only.

mod clock;
mod command;
mod config;
mod digest;
mod drift;
mod error;
mod evacuation;
mod fence;
mod finished_orders;
mod key;
mod lease;
mod lease_holder;
mod ledger;
mod limits;
mod machine;
mod orders;
mod outcome;
mod process;
mod record;
mod reply;
mod snapshot;
mod usage;
mod weight_loads;

pub use clock::{LeaderClock, LogTime};
pub use command::{
    ApplyConfig, Close, ClosedBy, Command, Grant, Intent, LedgerOp, LedgerWrite, Op, OrderDone,
    Release, Renew, Resolve,
};
pub use config::{AcceptedConfig, ConfigState};
pub use digest::{BodyDigest, KeyDigest};
pub use drift::DriftBound;
pub use error::{CodecError, SnapshotError};
pub use evacuation::{EvacuationOrder, EvacuationReply, Evacuations, SetEvacuation};
pub use fence::{FenceCheck, FencingNumber};
pub use finished_orders::{FinishedOrder, FinishedOrders};
pub use key::{IdempotencyKey, KeyError};
pub use lease::{Lease, Leases};
pub use lease_holder::{FencingMode, LeaseHolder};
pub use ledger::{Ledger, LedgerCounters};
pub use limits::LedgerLimits;
pub use machine::StateMachine;
pub use orders::{
    Action, DesiredPlacement, Order, Placement, ReconcileInput, ReportedPlacement, next_action,
    reconcile,
};
pub use outcome::{Outcome, RecordedBody};
pub use process::{AttemptId, ProcessId};
pub use record::{BookingRecord, BookingState};
pub use reply::{ConfigReply, LeaseReply, LedgerRefusal, LedgerReply, OrderReply, Reply};
pub use usage::AccountUsage;
pub use weight_loads::{WeightLoadScheduler, WeightStoreLimit};

/// Commonly used types.
pub mod prelude {
    pub use crate::{
        AttemptId, BodyDigest, Command, IdempotencyKey, KeyDigest, LedgerOp, LogTime, Op, Outcome,
        ProcessId, Reply, StateMachine,
    };
}
