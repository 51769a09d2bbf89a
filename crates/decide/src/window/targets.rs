//! Latency targets of a window, and outcomes of runs.

use std::time::Duration;

/// Target for the time to first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_100);

/// Target for the time between tokens.
const TOKEN_GAP_TARGET: Duration = Duration::from_millis(28);

/// Latency targets of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowTargets {
    /// From the start of a run to its first token; for a plain service, to the whole answer.
    pub first_token: Duration,
    /// Between tokens; `None` for plain services.
    pub token_gap: Option<Duration>,
}

impl WindowTargets {
    /// Targets for model engines: 1.1 s to the first token, 28 ms between tokens.
    #[must_use]
    pub fn model() -> Self {
        Self {
            first_token: FIRST_TOKEN_TARGET,
            token_gap: Some(TOKEN_GAP_TARGET),
        }
    }

    /// Targets for a plain service that should answer within `latency`.
    #[must_use]
    pub fn service(latency: Duration) -> Self {
        Self {
            first_token: latency,
            token_gap: None,
        }
    }
}

/// Outcome of a run on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It finished.
    Finished,
    /// The caller or the router cancelled it, which does not count against the upstream.
    Cancelled,
    /// The upstream refused it, closed the connection or timed out.
    Failed,
}
