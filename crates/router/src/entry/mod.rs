//! The entry's side of late binding: what waits, and who is told of it.

mod core;
mod queue;
mod sidecar_view;

pub use core::{EntryAction, EntryCore, NewRequest};
pub use queue::{PoolQueue, Waiting};
pub use sidecar_view::SidecarView;
