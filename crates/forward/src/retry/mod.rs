//! Decides whether a request is retried at another upstream.
//!
//! When upstreams fail, unlimited retries multiply the load while capacity is lowest, and a request
//! that crashes its upstream takes down one after the other if it is resent.

mod poison_requests;
mod retry_budget;

pub use poison_requests::PoisonRequests;
pub use retry_budget::{RetryBudget, RetryLimit};
