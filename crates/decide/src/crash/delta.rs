//! What hosts tell each other of crashes.

use std::time::Duration;

use coltsfootnotch_types::UpstreamName;

use super::{CrashId, Cursor, SuspectKey};

/// One crash and what was in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Which crash.
    pub id: CrashId,
    /// The upstream that crashed.
    pub upstream: UpstreamName,
    /// Requests in flight.
    pub suspects: Vec<SuspectKey>,
    /// How long ago; hosts have no common clock.
    pub age: Duration,
}

/// A suspect that has ended well, kept apart, since a crash.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Clearance {
    /// The request.
    pub key: SuspectKey,
    /// The crash that it did not cause.
    pub crash: CrashId,
}

/// Everything that became known since a cursor.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashDelta {
    /// Crashes.
    pub reports: Vec<CrashReport>,
    /// Clearances.
    pub clearances: Vec<Clearance>,
    /// The cursor that the receiver acknowledges.
    pub upto: Cursor,
}
