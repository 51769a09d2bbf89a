//! Routes: what a request may be sent to, and how often.

use std::sync::Arc;
use std::time::Duration;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: it may run more than once.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// Its answer is a stream of events; runs at most once unless it can be resumed.
    Streaming {
        /// Whether another upstream can go on after the last event that came.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may run a second time.
    ///
    /// ```
    /// use coltsfootnotch_forward::config::Kind;
    /// assert!(Kind::Safe.is_idempotent());
    /// assert!(!Kind::Streaming { resumable: false }.is_idempotent());
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

/// A service of a route, with its share of the route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceShare {
    /// Place of the service in [`super::ForwardConfig::services`].
    pub service: usize,
    /// Its share, against the sum over the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that its requests name, in lower case.
    pub host: Arc<str>,
    /// Beginning of the path, from slash to slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request is kept without an answer.
    pub timeout: Duration,
    /// Time to the answer, or the first event, that the operator aims at.
    pub target: Option<Duration>,
    /// Longest pause between events that the operator aims at, for a stream.
    pub gap: Option<Duration>,
    /// Rank, 0 the most urgent.
    pub priority: u32,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether a request needs no key.
    pub public: bool,
    /// The services, with their shares.
    pub services: Vec<ServiceShare>,
}

impl Route {
    /// The service for a request, drawn by `point` in 0..1.
    ///
    /// # Panics
    /// When the weights add up to 0, which a checked configuration rules out.
    #[must_use]
    pub fn draw(&self, point: f64) -> usize {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        assert!(total > 0, "a checked route has a service with a weight");
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
