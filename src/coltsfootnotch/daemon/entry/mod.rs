//! The entry role: accepts requests from callers, queues them and delivers the responses.
//!
//! The task of a connection reads and validates a request and passes it to the actor as a
//! [`ClientRequest`]. The actor owns the queues and starts a task per attempt, which owns the
//! attempt's stream and sends the chunks of the response directly to the caller's connection. The
//! task reports its result to the actor, which alone decides whether to retry.

mod actor;
mod admission;
mod attempt_result;
mod attempt_task;
mod attempts;
mod chat;
mod client_request;
mod config;
mod crash_suspects;
mod handle;
mod ledger_ops;
mod ledger_replies;
mod listen;
mod proposals;
mod queueing;
mod request_handler;
mod requests;
mod response_body;
mod sidecar_links;
mod unresolved;

pub use client_request::{ClientRequest, LedgerKey, ResponsePart};
pub use config::EntryConfig;
pub use handle::{EntryHandle, start};
