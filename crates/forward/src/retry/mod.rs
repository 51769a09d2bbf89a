//! Whether a request is sent to a second upstream.
//!
//! **Pattern of load.** An upstream fails, or all of them do at once; a request crashes each upstream
//! that runs it.
//!
//! **Without it** failures multiply the load just when there is least capacity, and one request that
//! its caller sends again and again takes down every upstream in turn.

mod broken_requests;
mod second_sends;

pub use broken_requests::BrokenRequests;
pub use second_sends::{RetryBound, SecondSends};
