//! Frames that wait to be sent, over all connections of an endpoint.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use quinn::Connection;

use crate::LinkId;

/// Time for which a peer takes nothing until its connection may be closed for want of memory.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Bytes that wait on each connection. Beyond the limit, of the connections whose peers take nothing that one is closed
/// on which most wait.
#[derive(Debug)]
pub(crate) struct SendQueues {
    limit: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    total: u64,
    by_link: BTreeMap<LinkId, Queue>,
}

#[derive(Debug)]
struct Queue {
    connection: Connection,
    bytes: u64,
    /// Since when the peer has taken nothing of what waits.
    stalled_since: Instant,
}

/// The frames that wait on one connection.
#[derive(Debug)]
pub(crate) struct SendQueue {
    queues: Arc<SendQueues>,
    link: LinkId,
}

impl SendQueues {
    pub(crate) fn new(limit: u64) -> Arc<Self> {
        Arc::new(Self {
            limit,
            state: Mutex::default(),
        })
    }

    pub(crate) fn add(self: &Arc<Self>, link: LinkId, connection: Connection) -> SendQueue {
        let queue = Queue {
            connection,
            bytes: 0,
            stalled_since: Instant::now(),
        };
        self.state().by_link.insert(link, queue);
        SendQueue {
            queues: Arc::clone(self),
            link,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SendQueue {
    /// Counts a frame that waits from now on.
    pub(crate) fn push(&self, len: usize) {
        let mut state = self.queues.state();
        let Some(queue) = state.by_link.get_mut(&self.link) else {
            return;
        };
        if queue.bytes == 0 {
            queue.stalled_since = Instant::now();
        }
        queue.bytes += len as u64;
        state.total += len as u64;
        if state.total > self.queues.limit {
            state.close_stalled();
        }
    }

    /// Counts a frame that was sent.
    pub(crate) fn pop(&self, len: usize) {
        let mut state = self.queues.state();
        let Some(queue) = state.by_link.get_mut(&self.link) else {
            return;
        };
        queue.bytes -= len as u64;
        queue.stalled_since = Instant::now();
        state.total -= len as u64;
    }

    /// Counts nothing of the connection from now on: it has ended, and its frames are dropped.
    pub(crate) fn remove(&self) {
        let mut state = self.queues.state();
        if let Some(queue) = state.by_link.remove(&self.link) {
            state.total -= queue.bytes;
        }
    }
}

impl State {
    fn close_stalled(&self) {
        let queues = self.by_link.values();
        let stalled = queues
            .filter(|queue| queue.bytes > 0 && queue.stalled_since.elapsed() >= STALLED_AFTER);
        if let Some(longest) = stalled.max_by_key(|queue| queue.bytes) {
            longest.connection.close(0_u32.into(), b"too slow");
        }
    }
}
