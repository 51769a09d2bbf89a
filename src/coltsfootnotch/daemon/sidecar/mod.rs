//! The sidecar role: runs beside upstreams, pulls waiting work and dispatches it.
//!
//! Upstreams announce themselves over HTTP. The actor owns the slots and decides what starts; a
//! task per attempt owns the attempt's stream to the entry and the call to the upstream, and keeps
//! the pieces for an entry whose connection broke.

mod actor;
mod announce;
mod announced;
mod attempts;
mod config;
mod handle;
pub mod orders;
mod runner;
mod service_reports;
mod sockets;
mod sse;
mod upstream_call;
mod upstreams;

pub use config::SidecarConfig;
pub use handle::{SidecarHandle, start};
