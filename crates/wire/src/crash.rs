//! Crashes of upstreams, as sidecars tell them to entries.

use coltsfootnotch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One crash, numbered by the sidecar run that noticed it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashRef {
    /// The sidecar's host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The how-manieth crash it noticed.
    pub number: u64,
}

/// A request as whoever sends it again would send it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentKey {
    /// The account.
    pub account: AccountName,
    /// SHA-256 of method, path and body.
    pub content: [u8; 32],
}

/// A crash, and what the upstream was running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Which crash.
    pub crash: CrashRef,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Requests in flight.
    pub suspects: Vec<ContentKey>,
    /// How long ago, in milliseconds; hosts have no common clock.
    pub age_ms: u64,
}
