//! Open connections of a listener, of which one that waits for its peer is closed for a new one if there are too many.
//!
//! Clients that connect and send or read nothing would otherwise keep others out for as long as they like.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use super::connection_state::ConnectionState;

/// Open connections of a listener.
#[derive(Debug)]
pub(crate) struct ConnectionSlots {
    limit: usize,
    open: Mutex<OpenSlots>,
}

#[derive(Debug, Default)]
struct OpenSlots {
    last_id: u64,
    by_id: HashMap<u64, Occupant>,
}

/// The connection that has a slot.
#[derive(Debug)]
struct Occupant {
    state: Arc<ConnectionState>,
    evicted: Arc<Notify>,
}

/// The slot of a connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<ConnectionSlots>,
    id: u64,
    state: Arc<ConnectionState>,
    evicted: Arc<Notify>,
}

impl ConnectionSlots {
    /// Slots for `limit` connections.
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            open: Mutex::default(),
        })
    }

    /// Takes a slot. If all are taken, the connection that has waited for its peer for the longest loses its slot; none
    /// if no connection waits.
    pub(crate) fn take(self: &Arc<Self>) -> Option<Slot> {
        let mut open = self.open();
        if open.by_id.len() >= self.limit && !open.evict() {
            return None;
        }
        open.last_id += 1;
        let id = open.last_id;
        let state = Arc::<ConnectionState>::default();
        // It waits for its first request.
        state.set_waiting();
        let evicted = Arc::<Notify>::default();
        let occupant = Occupant {
            state: Arc::clone(&state),
            evicted: Arc::clone(&evicted),
        };
        open.by_id.insert(id, occupant);
        Some(Slot {
            slots: Arc::clone(self),
            id,
            state,
            evicted,
        })
    }

    /// Closes the connection that has waited for its peer for the longest; returns whether there is one.
    pub(crate) fn evict(&self) -> bool {
        self.open().evict()
    }

    fn open(&self) -> MutexGuard<'_, OpenSlots> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenSlots {
    fn evict(&mut self) -> bool {
        let waiting = self.by_id.iter();
        let waiting =
            waiting.filter_map(|(id, occupant)| Some((occupant.state.waits_since()?, *id)));
        let Some((_, longest)) = waiting.min() else {
            return false;
        };
        if let Some(occupant) = self.by_id.remove(&longest) {
            occupant.evicted.notify_one();
        }
        true
    }
}

impl Slot {
    /// State of its connection.
    pub(super) fn state(&self) -> Arc<ConnectionState> {
        Arc::clone(&self.state)
    }

    /// Completes once the connection has lost its slot. Never does if a request has begun meanwhile, which is served.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
        if self.state.waits_since().is_none() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.open().by_id.remove(&self.id);
    }
}
