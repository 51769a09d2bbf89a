//! A configuration as parsed, before its references are checked.

use std::time::Duration;

use super::{Account, Bounds, RouteKind, Service};

/// A service named by a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareDraft {
    /// Its name.
    pub service: String,
    /// Its weight against the sum over the route.
    pub weight: u32,
}

/// A route as parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDraft {
    /// Its name.
    pub name: String,
    /// Host name of its requests.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
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
    /// Its services.
    pub services: Vec<ShareDraft>,
}

/// A configuration as parsed.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigDraft {
    /// Its number; the highest one is in force.
    pub number: u64,
    /// Routes.
    pub routes: Vec<RouteDraft>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts; if empty, requests need no key.
    pub accounts: Vec<Account>,
    /// Limits for callers.
    pub bounds: Bounds,
    /// Service units per second of all engines together, if the operator states them.
    pub units_per_s: Option<f64>,
}
