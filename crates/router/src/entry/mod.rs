//! The entry's side of late binding: queues of waiting requests, and the reports to sidecars.

mod action;
mod concurrency;
mod core;
mod matching;
mod messages;
mod queue;
mod request;
mod sidecar_view;
mod wait_updates;

pub use action::EntryAction;
pub use core::{EntryCore, NewRequest};
pub use queue::PoolQueue;
pub use request::QueuedRequest;
pub use sidecar_view::{PoolView, SidecarView};
