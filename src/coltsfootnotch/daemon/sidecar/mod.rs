//! The sidecar role: runs beside upstreams, pulls queued requests and dispatches them.
//!
//! Upstreams announce themselves over HTTP. The actor owns the slots and decides which attempts
//! start. Each attempt has a task that owns the stream to the entry and the call to the upstream,
//! and buffers chunks for an entry that lost its connection.

mod actor;
mod announce_endpoint;
mod announcement_handlers;
mod attempts;
mod config;
#[cfg(test)]
#[path = "endless_upstream_tests.rs"]
mod endless_upstream;
mod handle;
pub mod orders;
mod runner;
mod service_reports;
mod sockets;
mod sse;
#[cfg(test)]
#[path = "stop_tests.rs"]
mod stop;
mod upstream_call;
mod upstream_table;

pub use config::SidecarConfig;
pub use handle::{SidecarHandle, start};
