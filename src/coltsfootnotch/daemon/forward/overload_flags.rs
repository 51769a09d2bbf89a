//! Overload state that the actor shares with the tasks of connections.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// Overload state that the actor sets and the tasks of connections read.
#[derive(Debug, Default)]
pub(super) struct OverloadFlags {
    overloaded: AtomicBool,
    /// Share of requests that is refused unread, in millionths.
    refused_share: AtomicU32,
}

const MILLION: f64 = 1e6;

impl OverloadFlags {
    /// Sets whether the host is overloaded and what share of requests is refused unread. Returns
    /// whether it was overloaded before.
    pub(super) fn set(&self, overloaded: bool, refused_share: f64) -> bool {
        let millionths = (refused_share * MILLION) as u32;
        self.refused_share.store(millionths, Ordering::Relaxed);
        self.overloaded.swap(overloaded, Ordering::Relaxed)
    }

    /// Whether the host is overloaded, so that callers are sent to other hosts.
    pub(super) fn is_overloaded(&self) -> bool {
        self.overloaded.load(Ordering::Relaxed)
    }

    /// Whether to refuse a request unread, given a random number from 0 to 1.
    pub(super) fn should_refuse(&self, random: f64) -> bool {
        let refused_share = self.refused_share.load(Ordering::Relaxed);
        refused_share > 0 && random * MILLION < f64::from(refused_share)
    }
}
