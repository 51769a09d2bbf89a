//! The daemons: each has one actor that owns its state, and tasks that own its sockets.

pub mod admin;
pub mod control;
mod control_dialer;
pub mod entry;
pub mod forward;
mod lifecycle;
mod relay_client;
pub mod sidecar;
mod start;

pub use lifecycle::Lifecycle;
pub use relay_client::{ConfigUpdate, RelayClient, RelayEvent};
pub use start::{ControlAddress, StartError, StartReporter};
