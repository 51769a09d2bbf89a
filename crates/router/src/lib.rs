//! Late binding: the cores of entry and sidecar, without I/O.
//!
//! A request waits at its entry ([`EntryCore`]) until a sidecar ([`SidecarCore`]) with a free slot
//! pulls work of the client account that is furthest behind. Bound any earlier, it could wait
//! behind a busy upstream while another one is free. Both cores take messages and the current time
//! and return actions, which the daemons carry out over their connections.

mod entry;
mod sidecar;

pub use entry::{
    EntryAction, EntryCore, NewRequest, PoolQueue, PoolView, QueuedRequest, SidecarView,
};
pub use sidecar::{
    CrashLog, DispatchLog, InFlightRequests, PULL_TIMEOUT, PullTable, RemainingWait, Reservation,
    RunOutcome, SidecarAction, SidecarConfig, SidecarCore, UpstreamSlots, UpstreamTable,
    UpstreamUpdate, WaitTable,
};

/// The types that a daemon needs to drive the cores.
pub mod prelude {
    pub use crate::{
        EntryAction, EntryCore, NewRequest, QueuedRequest, SidecarAction, SidecarCore,
    };
}
