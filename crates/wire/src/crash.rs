//! Crashes of upstreams, as sidecars report them to entries.

use coltsfootnotch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifier of a crash, assigned by the sidecar that detected it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashRef {
    /// The sidecar's host.
    pub host: HostName,
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// Number of the crash within that incarnation.
    pub number: u64,
}

/// Identifies equal requests of an account, to recognise a request that is sent again.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentKey {
    /// The account.
    pub account: AccountName,
    /// SHA-256 of method, path and body.
    pub content: [u8; 32],
}

/// A crash, and the requests that the upstream was running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCrash {
    /// The crash.
    pub crash: CrashRef,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its pool; none if it has not announced itself lately.
    pub pool: Option<PoolName>,
    /// Requests that were in flight.
    pub suspects: Vec<ContentKey>,
    /// Digests of the prompts' prefixes of those that had no chunk of an answer.
    pub prefixes: Vec<u64>,
    /// Time since the crash, in milliseconds; an age, since hosts share no clock.
    pub age_ms: u64,
}
