//! A forwarding entry from outside.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use stakker::sync::Channel;

use super::messages::ForwardMsg;

/// A forwarding entry that runs.
#[derive(Clone)]
pub struct ForwardHandle {
    pub(super) tx: Channel<ForwardMsg>,
    pub(super) ready: Arc<AtomicBool>,
}

impl ForwardHandle {
    /// Whether the entry should be sent callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Begins a graceful stop: the entry says that it is not ready, goes on serving until balancers
    /// have noticed, and ends when no request is in progress.
    pub fn stop(&self) {
        self.tx.send(ForwardMsg::Stop);
    }

    /// The settings name other seeds now.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.tx.send(ForwardMsg::Seeds(seeds));
    }
}
