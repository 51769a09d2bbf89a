//! A fleet in one process on loopback, through the same code as the daemons.
//!
//! `demo`, `load --embedded` and the tests run it. Hosts have their own contexts, event loops and
//! endpoints, and talk over UDP as separate processes do; stand-in upstreams announce themselves to
//! the sidecars over HTTP.

mod control_bytes;
mod plan;
mod restart;
mod running;

pub use control_bytes::ControlBytes;
pub use plan::{AccountPlan, FleetPlan, demo_key};
pub use running::{Fleet, FleetError};
