//! Refusals of requests.

use std::time::Duration;

use derive_more::Display;

/// Reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// No upstream of the service accepts requests.
    #[display("no upstream")]
    NoUpstream,
    /// All upstreams of the service are in evacuated failure domains.
    #[display("all upstreams are in evacuated failure domains")]
    Evacuated,
    /// All upstreams of the service asked for no requests for a time.
    #[display("all upstreams asked for a pause")]
    Backoff,
    /// No other upstream runs the version that began the stream to go on with.
    #[display("no other upstream runs the version that began the stream")]
    VersionGone,
    /// No engine of the service has memory for it, even when idle.
    #[display("larger than the memory of an upstream")]
    TooLarge,
    /// Every upstream is saturated.
    #[display("all upstreams full")]
    Saturated,
    /// The engines that keep the subject of the prompt are saturated; others were not compared.
    #[display("all upstreams that keep its prompt full")]
    HomesSaturated,
    /// An upstream would start it in time for an account within its fair share, and the client account is
    /// above its own.
    #[display("account over its share")]
    OverShare,
}

/// Delay after which a request larger than an engine's memory may be retried. Only another configuration, or another
/// service of its route, can serve it.
const TOO_LARGE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refusal of a request, which has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
    /// Whether every upstream compared is saturated.
    pub is_saturated: bool,
    /// Wait at the least saturated upstream compared, and its limit for an account within its fair share.
    pub wait: Option<(Duration, Duration)>,
}

impl Refusal {
    /// Refusal of a request that no engine of the service has memory for.
    #[must_use]
    pub fn too_large() -> Self {
        Self {
            reason: RefusalReason::TooLarge,
            retry_after: TOO_LARGE_RETRY_AFTER,
            is_saturated: false,
            wait: None,
        }
    }
}
