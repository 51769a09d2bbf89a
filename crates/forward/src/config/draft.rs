//! A configuration as it was written, before its references are checked.

use std::time::Duration;

use super::{Account, Bounds, Kind, Service};

/// A service named by a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareDraft {
    /// Its name.
    pub service: String,
    /// Its share.
    pub weight: u32,
}

/// A route as it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDraft {
    /// Its name.
    pub name: String,
    /// Host that its requests name.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time without an answer.
    pub timeout: Duration,
    /// Time that the operator aims at.
    pub target: Option<Duration>,
    /// Longest pause between events, for a stream.
    pub gap: Option<Duration>,
    /// Rank, 0 the most urgent.
    pub priority: u32,
    /// Most upstreams for one request.
    pub max_attempts: u32,
    /// Whether a request needs no key.
    pub public: bool,
    /// Its services.
    pub services: Vec<ShareDraft>,
}

/// A configuration as it was written.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigDraft {
    /// Its number; the highest is in force.
    pub number: u64,
    /// Routes.
    pub routes: Vec<RouteDraft>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts; without any, no request needs a key.
    pub accounts: Vec<Account>,
    /// Bounds for callers.
    pub bounds: Bounds,
    /// Service units that all engines together give in a second, where the operator states it.
    pub units_per_s: Option<f64>,
}
