//! The forwarding entry: takes requests of any HTTP service and forwards each to an upstream.
//!
//! | data | path |
//! |---|---|
//! | requests | the task of a connection ([`server`]) reads a request, has the actor place it, exchanges it with the upstream over a pooled connection ([`exchange`]) and delivers the response |
//! | decisions | the [`actor`] owns all state that requests share: upstreams, load, shares, budgets |
//! | configuration, upstreams, other entries | received from all control hosts over the fleet's connections ([`control_links`]) |
//!
//! The names of headers and the format of the configuration are defined by a [`Dialect`] in the
//! settings.

mod actor;
mod attempts;
mod config;
mod control_links;
mod costs;
mod delivery;
mod dialect;
mod engine_rates;
mod event_queue;
mod event_splitter;
mod exchange;
mod exchange_guard;
mod handle;
mod handover;
mod held_chunk;
mod listener;
mod matched_request;
mod messages;
mod overload_flags;
mod pending_placement;
mod pool;
mod read_limit;
mod refused_accounts;
mod replacement;
mod request_body;
mod request_log;
mod responses;
mod resumption;
mod server;
mod shared_notices;
mod state;
mod stop_times;
mod stream;
mod stream_source;
mod takeover;
mod takeover_search;
mod upstream_socket;

pub use actor::run;
pub use config::{ForwardSettings, Times};
pub use dialect::{DecodeError, Dialect, RequestHead, ResponseHead, UpstreamRequestHead};
pub use handle::ForwardHandle;
