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
    /// Whether a connection to it broke since then, so that another run may be there already.
    pub may_have_restarted: bool,
}
