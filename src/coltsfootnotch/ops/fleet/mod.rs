//! A fleet in one process on loopback, with the code of the daemons.
//!
//! It is used by `demo`, `load --embedded` and tests. Each host has its own context, event loop and
//! endpoint, and hosts communicate over UDP as separate processes do. Fake upstreams announce
//! themselves to the sidecars over HTTP.

mod control_bytes;
mod plan;
mod restart;
mod running;

pub use control_bytes::ControlBytes;
pub use plan::{AccountPlan, FleetPlan, demo_key};
pub use running::{Fleet, FleetError};
