//! Crash data exchanged between hosts.

use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

use super::{CrashId, Cursor, SuspectKey};

/// One crash and the requests that were in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Identifies the crash.
    pub id: CrashId,
    /// The upstream that crashed.
    pub upstream: UpstreamName,
    /// Requests in flight on the upstream.
    pub suspects: Vec<SuspectKey>,
    /// Time since the crash; hosts have no common clock.
    pub age: Duration,
}

/// A suspect that ran isolated after a crash and ended without another one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Clearance {
    /// The request.
    pub key: SuspectKey,
    /// The crash that it did not cause.
    pub crash: CrashId,
}

/// Crash reports and clearances recorded since a cursor.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashDelta {
    /// Crash reports.
    pub reports: Vec<CrashReport>,
    /// Clearances.
    pub clearances: Vec<Clearance>,
    /// The cursor that the receiver acknowledges.
    pub upto: Cursor,
}
