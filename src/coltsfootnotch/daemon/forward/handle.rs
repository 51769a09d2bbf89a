//! Handle of a running forwarding entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use stakker::sync::Channel;

use super::messages::ForwardMsg;

/// A handle of a running forwarding entry.
#[derive(Clone)]
pub struct ForwardHandle {
    pub(super) tx: Channel<ForwardMsg>,
    pub(super) ready: Arc<AtomicBool>,
}

impl ForwardHandle {
    /// Whether load balancers should send requests to this entry.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Starts a graceful shutdown: the entry reports that it is not ready, accepts connections
    /// until load balancers have noticed, and stops when no request is in progress.
    pub fn stop(&self) {
        self.tx.send(ForwardMsg::Stop);
    }

    /// Replaces the fleet addresses of control hosts from the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.tx.send(ForwardMsg::Seeds(seeds));
    }
}
