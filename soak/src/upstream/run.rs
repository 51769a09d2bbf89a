//! One run of an upstream: what it is, and what it was told.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coltsfootnotch_platform_peers::UpstreamReport;

use super::SLOTS;

/// What an upstream is told, and what it is.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) id: String,
    pub(super) service: &'static str,
    pub(super) address: SocketAddr,
    pub(super) born_ms: u64,
    pub(super) sequence: AtomicU64,
    pub(super) state: Mutex<State>,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct State {
    pub(super) draining: bool,
    /// When its leaving was acknowledged.
    pub(super) left: Option<Duration>,
    pub(super) loses_answers: bool,
}

impl Run {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn text(&self) -> UpstreamReport<'_> {
        UpstreamReport {
            service: self.service,
            address: self.address,
            domain: "north",
            slots: SLOTS,
            draining: self.state().draining,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            born_ms: self.born_ms,
        }
    }
}
