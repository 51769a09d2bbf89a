//! Whether and how a request may run.

use std::time::Duration;

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPolicy {
    /// Without restriction.
    Unrestricted,
    /// As a suspect, on an upstream that runs no other suspect.
    Isolated,
    /// Not at all: it has crashed two upstreams.
    Refused {
        /// Time until it is accepted again.
        retry_after: Duration,
    },
}

/// Largest number of upstreams that one request can crash before every host refuses it.
///
/// `copies` is the number of its runs that are in progress or start before the report of the first
/// crash has reached every host. Each of them can crash its upstream. After that the request runs
/// isolated, and one more crash identifies it as the cause.
///
/// ```
/// use coltsfootnotch_decide::crash::max_upstreams_lost;
/// assert_eq!(max_upstreams_lost(1), 2);
/// ```
#[must_use]
pub fn max_upstreams_lost(copies: u32) -> u32 {
    copies + 1
}
