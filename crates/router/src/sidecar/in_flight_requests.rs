//! Requests that an upstream runs.

use coltsfootnotch_wire::ContentKey;

/// Requests that an upstream runs, which become suspects when it crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InFlightRequests {
    /// Their content keys.
    pub keys: Vec<ContentKey>,
    /// Digests of the prompts' prefixes of those that have no chunk of an answer yet.
    pub prefixes: Vec<u64>,
}
