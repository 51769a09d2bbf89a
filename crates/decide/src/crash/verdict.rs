//! What is done with a request.

use std::time::Duration;

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other.
    Free,
    /// Suspect: on an upstream that runs no other suspect.
    Apart,
    /// It has crashed two upstreams: not at all until the time has passed.
    Refused {
        /// When it will be let in again.
        retry_after: Duration,
    },
}

/// The most upstreams that one request can take down before it is refused everywhere.
///
/// `copies` counts the runs of it that are in progress, or are started, until word of the first crash
/// has reached every host. Each of them can crash the upstream it is on. From then on it runs apart,
/// once: a second crash convicts it. With one copy that makes two upstreams.
///
/// ```
/// use coltsfootnotch_decide::crash::upstreams_lost_at_most;
/// assert_eq!(upstreams_lost_at_most(1), 2);
/// ```
#[must_use]
pub fn upstreams_lost_at_most(copies: u32) -> u32 {
    copies + 1
}
