//! Small stand-ins for model engines and order services, for `demo`, `load` and tests.
//!
//! Each stand-in listens on a loopback port, announces itself to a sidecar when it is told to, and
//! can be made to fail in the ways that real upstreams do: crash on a marked request, answer
//! slowly, lose an answer after the work was done, report its load late. What it did is counted, so
//! that a test can compare what callers were told with what really ran.
//!
//! Every thread belongs to a handle and has ended when `stop` returns.
//!
//! The stand-ins are built on `hyper`: a crash has to drop connections in the middle of an answer,
//! and `tiny_http` keeps its sockets to itself. Its pool can also leave a new connection without a
//! thread when several arrive at once, which a load test would see as an upstream that hangs.

mod announcer;
mod answer;
mod attempts;
mod chat;
mod clock;
mod completion;
mod engine;
mod engine_config;
mod http;
mod order_book;
mod order_config;
mod order_service;
mod orders;
mod pace;
mod prefix_cache;
mod server;
mod slots;

pub use announcer::{AnnounceConfig, Announcer};
pub use answer::{expected_answer, expected_token, prefix_digest, prompt_tokens};
pub use engine::EngineHandle;
pub use engine_config::{EngineConfig, EngineStats};
pub use order_book::OrderStore;
pub use order_config::{OrderConfig, OrderStats};
pub use order_service::OrderHandle;

/// A prompt that holds this text crashes the engine that runs it.
pub const POISON_MARKER: &str = "<<crash>>";
