//! What the tasks of connections need to know of an overload.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// What the tasks of connections need to know of an overload; the actor decides, they look.
#[derive(Debug, Default)]
pub(super) struct OverloadFlags {
    elsewhere: AtomicBool,
    /// Part of requests that is refused unread, in millionths.
    refused: AtomicU32,
}

const WHOLE: f64 = 1e6;

impl OverloadFlags {
    /// Sets whether callers are sent elsewhere, and what part is refused unread; whether they were.
    pub(super) fn set(&self, elsewhere: bool, refused: f64) -> bool {
        let millionths = (refused * WHOLE) as u32;
        self.refused.store(millionths, Ordering::Relaxed);
        self.elsewhere.swap(elsewhere, Ordering::Relaxed)
    }

    /// Whether callers are sent elsewhere.
    pub(super) fn sends_elsewhere(&self) -> bool {
        self.elsewhere.load(Ordering::Relaxed)
    }

    /// Whether a request that drew this number, from 0 to 1, is refused unread.
    pub(super) fn refuses(&self, drawn: f64) -> bool {
        let refused = self.refused.load(Ordering::Relaxed);
        refused > 0 && drawn * WHOLE < f64::from(refused)
    }
}
