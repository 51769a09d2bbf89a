//! Decides whether a request is retried at another upstream.
//!
//! When upstreams fail, unlimited retries multiply the load while capacity is lowest, and a request
//! that crashes its upstream takes down one after the other if it is resent.

mod broken_requests;
mod second_sends;

pub use broken_requests::BrokenRequests;
pub use second_sends::{RetryBound, SecondSends};
