//! An upstream in the registry.

use std::time::Duration;

use super::Announcement;

/// One run of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When it was received.
    pub last_seen: Duration,
}
