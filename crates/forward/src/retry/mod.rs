//! Decides whether a request is retried at another upstream.
//!
//! When upstreams fail, unlimited retries multiply the load while capacity is lowest, and a request
//! that crashes its upstream takes down one after the other if it is resent.

mod crash_evidence;
mod earlier_runs;
mod poison_requests;
mod refused_segments;
mod retry_budget;
mod retry_counts;
mod retry_records;
mod unconfirmed;

pub use crash_evidence::CrashEvidence;
pub use poison_requests::PoisonRequests;
pub use refused_segments::RefusedSegments;
pub use retry_budget::{EarlierRetries, RetryBudget, RetryLimit};
pub use retry_records::RetryRecords;
