//! The forwarding entry: takes requests of any HTTP service and sends them straight to an upstream.
//!
//! | data | way |
//! |---|---|
//! | requests | a task a connection ([`server`]) reads the request, asks the actor where it goes, exchanges it with the upstream over a pooled connection ([`exchange`]) and delivers the answer |
//! | decisions | the [`actor`] owns everything that requests share: upstreams, load, shares, budgets |
//! | configuration, upstreams, other entries | told by every control host over the fleet's connections ([`control_links`]) |
//!
//! What a request looks like on the wire (names of headers, format of the configuration) is a
//! [`Dialect`], passed in: the daemon knows none.

mod actor;
mod answer;
mod config;
mod control_links;
mod delivery;
mod dialect;
mod exchange;
mod handle;
mod in_flight;
mod messages;
mod overload_flags;
mod pool;
mod record;
mod requested;
mod server;
mod sse;
mod state;
mod stream;
mod tries;

pub use actor::run;
pub use config::{ForwardSettings, Times};
pub use dialect::{AnswerHead, DecodeError, Dialect, Onward, RequestHead};
pub use handle::ForwardHandle;
