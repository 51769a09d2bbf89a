//! The sidecar's side of late binding: free slots, and the work pulled into them.

mod action;
mod attempts;
mod core;
mod crash_log;
mod dispatch_log;
mod entry_updates;
mod in_flight_requests;
mod pull_table;
mod pulling;
mod runs;
mod upstreams;
mod wait_table;

pub use action::{RunOutcome, SidecarAction};
pub use core::{SidecarConfig, SidecarCore};
pub use crash_log::CrashLog;
pub use dispatch_log::DispatchLog;
pub use in_flight_requests::InFlightRequests;
pub use pull_table::{PULL_TIMEOUT, PullTable, Reservation};
pub use upstreams::{UpstreamSlots, UpstreamTable, UpstreamUpdate};
pub use wait_table::{RemainingWait, WaitTable};
