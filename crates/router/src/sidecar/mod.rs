//! The sidecar's side of late binding: free slots, and whose work is pulled into them.

mod action;
mod core;
mod crashes;
mod dispatched;
mod pulling;
mod pulls;
mod runs;
mod starts;
mod told;
mod upstreams;
mod waits;

pub use action::{RunOutcome, SidecarAction};
pub use core::{SidecarConfig, SidecarCore};
pub use crashes::Crashes;
pub use dispatched::Dispatched;
pub use pulls::{PULL_TIMEOUT, PullTable, Reserved};
pub use upstreams::{News, UpstreamSlots, UpstreamTable};
pub use waits::{Left, WaitTable};
