//! Late binding: the cores of entry and sidecar, without I/O.
//!
//! A request waits at its entry ([`EntryCore`]) until a sidecar ([`SidecarCore`]) with a free slot
//! pulls work of the client account that is furthest behind. Bound any earlier, it could wait
//! behind a busy upstream while another one is free. Both cores take messages and the time, and
//! give back actions; the daemons carry these over their connections.

mod entry;
mod sidecar;

pub use entry::{EntryAction, EntryCore, NewRequest, PoolQueue, PoolView, SidecarView, Waiting};
pub use sidecar::{
    Crashes, Dispatched, Left, News, PULL_TIMEOUT, PullTable, Reserved, RunOutcome, SidecarAction,
    SidecarConfig, SidecarCore, UpstreamSlots, UpstreamTable, WaitTable,
};

/// The types that a daemon needs to carry the cores.
pub mod prelude {
    pub use crate::{EntryAction, EntryCore, NewRequest, SidecarAction, SidecarCore, Waiting};
}
