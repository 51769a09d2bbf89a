//! Routes and their services.

use std::sync::Arc;
use std::time::Duration;

/// Whether requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Not idempotent: runs at most once.
    Unsafe,
    /// The answer is a stream of events; runs at most once unless it is resumable.
    Streaming {
        /// Whether another upstream can continue after the last event received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    ///
    /// ```
    /// use coltsfootnotch_forward::config::RouteKind;
    /// assert!(RouteKind::Safe.is_idempotent());
    /// assert!(!RouteKind::Streaming { resumable: false }.is_idempotent());
    /// ```
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Streaming { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A service of a route and its weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceShare {
    /// Index of the service in [`super::ForwardConfig::services`].
    pub service: usize,
    /// Its weight against the sum over the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host name of its requests, in lower case.
    pub host: Arc<str>,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Time limit for an answer.
    pub timeout: Duration,
    /// Target time to the answer or the first event.
    pub target: Option<Duration>,
    /// Target for the longest pause between events of a stream.
    pub gap: Option<Duration>,
    /// Priority, 0 the most urgent.
    pub priority: u32,
    /// Most attempts for one request, each at another upstream.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Its services and their weights.
    pub services: Vec<ServiceShare>,
}

impl Route {
    /// The index of the service for a request, chosen by weight with `point` in 0..1.
    ///
    /// # Panics
    /// When the weights add up to 0, which a validated configuration rules out.
    #[must_use]
    pub fn draw(&self, point: f64) -> usize {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        assert!(total > 0, "a validated route has a positive weight");
        let mut left = (point.clamp(0.0, 1.0) * total as f64) as u64;
        for share in &self.services {
            if left < u64::from(share.weight) {
                return share.service;
            }
            left -= u64::from(share.weight);
        }
        let weighted = self.services.iter().rfind(|s| s.weight > 0);
        weighted.map_or(0, |s| s.service)
    }
}
