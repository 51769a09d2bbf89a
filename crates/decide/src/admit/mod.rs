//! What is let in, what waits and for how long, and what is turned away.
//!
//! **Pattern of load.** One account floods; work arrives faster than it can be served; an entry host
//! itself runs short of connections or memory.
//!
//! **Without it** one flood fills the queue for all, requests wait past their deadline and run for a
//! caller that has gone, and an entry host that runs out of memory takes requests in progress with
//! it.
//!
//! **The rules.** A queue is bounded per account and in all by a moving threshold: an account may
//! hold as much as is still free, so a flood leaves room for the next account by itself
//! ([`QueueLimits`]). A request that can't be started by its deadline at the measured drain rate is
//! refused at once ([`DrainMeter`]), with the time after which it would have been accepted. A refusal
//! is made before anything is queued or sent, so the request has not run. Shortage on the host turns
//! away new connections and new requests, never one that was accepted ([`HostLimits`]).

mod admission;
mod drain;
mod host;
mod limits;
mod rate;
mod refusal;

pub use admission::Admission;
pub use drain::DrainMeter;
pub use host::{HostLimits, HostLoad};
pub use limits::QueueLimits;
pub use rate::RateLimits;
pub use refusal::{Refusal, RefusalReason};
