//! Admission control of an entry host: queue bounds, deadlines, rate limits and host limits.
//!
//! Keeps one account from filling the queue of all, requests from running after their caller has
//! given up, and the host from running out of memory with requests in progress.
//!
//! The queue bound of an account is the space that is still free ([`QueueLimits`]). A request that
//! can't start by its deadline at the measured drain rate ([`DrainMeter`]) is refused with a time
//! to retry after. Host limits apply to new connections and new requests, not to accepted ones
//! ([`HostLimits`]). A refusal comes before anything is queued or sent, so the request has not run.

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
