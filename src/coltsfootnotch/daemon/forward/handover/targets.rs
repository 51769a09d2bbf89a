//! The neighbours that take connections over, and the share of connections that they take.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

use tokio::sync::watch;

const MILLION: f64 = 1e6;

/// Neighbours and share, which the actor sets and the task that accepts connections reads.
#[derive(Debug, Default)]
pub(in crate::daemon::forward) struct HandoverTargets {
    /// Share of new connections that is handed over, in millionths.
    share: AtomicU32,
    neighbours: Mutex<Vec<SocketAddr>>,
    /// Whether the entry stops.
    ended: watch::Sender<bool>,
}

impl HandoverTargets {
    /// Sets the share of new connections that is handed over.
    pub(in crate::daemon::forward) fn set_share(&self, share: f64) {
        let millionths = (share * MILLION) as u32;
        self.share.store(millionths, Ordering::Relaxed);
    }

    /// Ends the hand-over since the entry stops. It refuses what it can't complete in time, which its
    /// neighbours can't judge: they don't know when it exits.
    pub(in crate::daemon::forward) fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Completes when the hand-over ends.
    pub(in crate::daemon::forward) async fn ended(&self) {
        let mut ended = self.ended.subscribe();
        if ended.wait_for(|ended| *ended).await.is_err() {
            // The sender is dropped with the entry, without a stop.
            std::future::pending::<()>().await;
        }
    }

    /// Sets the neighbours that take connections over.
    pub(in crate::daemon::forward) fn set_neighbours(&self, addresses: Vec<SocketAddr>) {
        *self.lock() = addresses;
    }

    /// Whether a neighbour takes connections over.
    pub(in crate::daemon::forward) fn has_neighbours(&self) -> bool {
        !self.lock().is_empty()
    }

    /// Whether to hand a connection over, given a random number from 0 to 1.
    pub(in crate::daemon::forward) fn should_hand_over(&self, random: f64) -> bool {
        let share = self.share.load(Ordering::Relaxed);
        share > 0 && random * MILLION < f64::from(share) && self.can_hand_over()
    }

    /// Whether connections may be handed over at all.
    pub(in crate::daemon::forward) fn can_hand_over(&self) -> bool {
        !self.has_ended() && self.has_neighbours()
    }

    /// Whether the entry stops.
    pub(in crate::daemon::forward) fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// A neighbour chosen by a random number from 0 to 1.
    pub(in crate::daemon::forward) fn pick(&self, random: f64) -> Option<SocketAddr> {
        let neighbours = self.lock();
        let index = (random * neighbours.len() as f64) as usize;
        neighbours.get(index).copied()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.neighbours
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "targets_tests.rs"]
mod tests;
