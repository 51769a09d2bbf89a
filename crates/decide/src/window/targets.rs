//! What an upstream's window aims at, and how runs end.

use std::time::Duration;

/// Time to first token that the users ask for.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_100);

/// Time between tokens that the users ask for.
const TOKEN_GAP_TARGET: Duration = Duration::from_millis(28);

/// Times to keep to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowTargets {
    /// From the start of a run to its first piece; for a plain service, to its whole answer.
    pub first: Duration,
    /// Between tokens; `None` for plain services.
    pub gap: Option<Duration>,
}

impl WindowTargets {
    /// The users' targets for model engines: 1.1 s to the first token, 28 ms between tokens.
    #[must_use]
    pub fn model() -> Self {
        Self {
            first: FIRST_TOKEN_TARGET,
            gap: Some(TOKEN_GAP_TARGET),
        }
    }

    /// A plain service that should answer within `latency`.
    #[must_use]
    pub fn service(latency: Duration) -> Self {
        Self {
            first: latency,
            gap: None,
        }
    }
}

/// How a run ended, as far as its upstream is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It finished.
    Finished,
    /// Its caller or the router gave it up; says nothing about the upstream.
    Cancelled,
    /// The upstream refused it, broke off or timed out.
    Failed,
}
