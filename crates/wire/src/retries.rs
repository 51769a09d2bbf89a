//! Requests and retries that a forwarding entry counts against the operator's limit on retries.

use serde::{Deserialize, Serialize};

use crate::RefusedContent;

/// Requests and retries of a service within a short time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryBucket {
    /// Least age of what is counted, in milliseconds. An age needs no clock that hosts share, and is only
    /// ever too low: what is counted twice as long is safe, what is forgotten early is not.
    pub age_ms: u32,
    /// Requests of callers.
    pub requests: u32,
    /// Requests that were sent again.
    pub retries: u32,
}

/// What an entry counted for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRetries {
    /// The service.
    pub service: String,
    /// What was counted, by age.
    pub buckets: Vec<RetryBucket>,
}

/// Report of a forwarding entry on its requests and retries, without those of its predecessors.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryReport {
    /// Number of the report, from 1.
    pub number: u64,
    /// Whether it has all that the entry counts, not only what was added since the last report. The first
    /// one that a control host receives is whole.
    pub is_whole: bool,
    /// By service; services without anything to report are left out.
    pub services: Vec<ServiceRetries>,
}

/// What an earlier process of an entry's host has reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierRun {
    /// Incarnation of the process.
    pub run: u64,
    /// Number of its last report here; a control host that received a later one has all of it.
    pub number: u64,
    /// Whether it reported to the sender until it ended, as far as the sender knows.
    pub is_last: bool,
    /// All that it counted.
    pub services: Vec<ServiceRetries>,
}

/// What a control host knows of the earlier processes of an entry's host, and of requests that all entries refuse.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryHistory {
    /// The processes that reported to the sender lately.
    pub runs: Vec<EarlierRun>,
    /// Time for which the sender has run and has lost no other control host, in milliseconds; the maximum
    /// if it runs since the fleet's first start.
    pub known_for_ms: u32,
    /// Control hosts with a log that the sender is connected to, and the sender.
    pub control_hosts: u32,
    /// Greatest number of entries that the sender has counted lately; zero if it has counted none.
    pub entries: u32,
    /// Contents whose requests are refused, since they crash upstreams.
    pub refused: Vec<RefusedContent>,
}
