//! Utilities shared by daemons and commands.

mod abort_after_flush;
pub mod body_buffer;
pub mod body_framing;
pub mod boot_clock;
pub mod buffered_body;
pub mod call_cancellation;
mod closing_responses;
mod connection;
pub mod connection_io;
pub(crate) mod connection_slots;
mod connection_state;
pub mod connections;
pub mod cut_body;
pub mod event_loop;
pub mod events;
pub mod http_client;
pub mod http_server;
pub mod json_log;
pub mod line_budget;
pub mod memory_budget;
pub mod metrics;
pub mod panic_log;
mod print_causes;
pub(crate) mod refused_connection;
pub(crate) mod rendered_metrics;
pub mod request_body;
mod unsized_body;

pub use print_causes::print_causes;
