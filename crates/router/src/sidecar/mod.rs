//! The sidecar's side of late binding: free slots, and whose work is pulled into them.

mod core;
mod dispatched;
mod pulls;
mod served;
mod upstreams;
mod waits;

pub use core::{SidecarAction, SidecarCore};
pub use dispatched::Dispatched;
pub use pulls::{PULL_TIMEOUT, PullTable, Reserved};
pub use served::Served;
pub use upstreams::{UpstreamSlots, UpstreamTable};
pub use waits::WaitTable;
