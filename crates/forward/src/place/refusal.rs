//! Why a request is not placed.

use std::time::Duration;

use derive_more::Display;

/// Why a request is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// No upstream of the service is known to take work.
    #[display("no upstream")]
    NoUpstream,
    /// Every upstream has as much as it can do in time.
    #[display("all upstreams full")]
    Full,
    /// As before, and the client account has more than its fair share.
    #[display("account over its share")]
    OverShare,
}

/// A request is refused at once; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When trying again is of use.
    pub retry_after: Duration,
    /// Whether every upstream compared has as much waiting as it may.
    pub is_crowded: bool,
}
