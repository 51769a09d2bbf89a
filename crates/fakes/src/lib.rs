//! Fake model engines and order services for `demo`, `load` and tests.
//!
//! A fake listens on a loopback port, optionally announces itself to a sidecar, and can simulate the
//! failures of real upstreams: crashing on a marked request, responding slowly, losing a response
//! after the work was done, reporting its load late. Counters of the work done let tests compare the
//! responses that callers got with the requests that ran.
//!
//! Every thread belongs to a handle and is joined by `stop`.
//!
//! The fakes use `hyper`, since a simulated crash must drop connections in the middle of a response.
//! `tiny_http` gives no access to its sockets, and its thread pool can stall simultaneous connections.

mod announcer;
mod answer;
mod attempts;
mod chat;
mod completion;
mod engine;
mod engine_config;
mod engine_orders;
mod http;
mod latency;
mod order_book;
mod order_config;
mod order_service;
mod prefix_cache;
mod run_guard;
mod server;
mod sleep;
mod slots;

pub use announcer::{AnnounceConfig, Announcer};
pub use answer::{expected_answer, expected_token, prefix_digest, prompt_tokens};
pub use engine::EngineHandle;
pub use engine_config::{EngineConfig, EngineStats};
pub use order_book::OrderStore;
pub use order_config::{AnswerEnd, OrderConfig, OrderStats};
pub use order_service::OrderHandle;

/// A prompt that contains this text crashes the engine that runs it.
pub const POISON_MARKER: &str = "<<crash>>";
