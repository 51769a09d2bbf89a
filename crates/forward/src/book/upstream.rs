//! One upstream in the book.

use std::time::Duration;

use super::Announcement;

/// One run of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its newest announcement.
    pub said: Announcement,
    /// When that came.
    pub heard: Duration,
}
