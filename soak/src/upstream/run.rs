//! One run (incarnation) of a simulated upstream.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coltsfootnotch_platform_peers::UpstreamReport;

use super::CONCURRENCY;

/// Identity and state of a run.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) id: String,
    pub(super) service: &'static str,
    /// Version of its software, which is in each of its events.
    pub(super) version: &'static str,
    pub(super) address: SocketAddr,
    pub(super) born_ms: u64,
    pub(super) sequence: AtomicU64,
    pub(super) state: Mutex<State>,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct State {
    pub(super) draining: bool,
    /// Time at which its drain was acknowledged.
    pub(super) drained_at: Option<Duration>,
    pub(super) drops_answers: bool,
    /// Whether its responses have neither a length nor chunks.
    pub(super) omits_framing: bool,
    /// The pause that it asks for while it refuses all requests.
    pub(super) refusing: Option<Duration>,
}

impl Run {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn description(&self) -> UpstreamReport<'_> {
        UpstreamReport {
            service: self.service,
            version: self.version,
            address: self.address,
            domain: "north",
            slots: CONCURRENCY,
            draining: self.state().draining,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            born_ms: self.born_ms,
        }
    }
}
