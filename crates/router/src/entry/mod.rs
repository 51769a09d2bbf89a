//! The entry's side of late binding: what waits, and who is told of it.

mod action;
mod choosing;
mod concurrency;
mod core;
mod messages;
mod queue;
mod sidecar_view;
mod telling;
mod waiting;

pub use action::EntryAction;
pub use core::{EntryCore, NewRequest};
pub use queue::PoolQueue;
pub use sidecar_view::{PoolView, SidecarView};
pub use waiting::Waiting;
