//! The places in an upstream's batch, given out in order of arrival.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

/// How full the batch is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Occupancy {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

struct Busy {
    running: u32,
    total: Duration,
    counted_until: Instant,
}

impl Busy {
    fn count(&mut self) {
        let now = Instant::now();
        self.total += (now - self.counted_until) * self.running;
        self.counted_until = now;
    }
}

/// A fixed number of slots; whoever came first is let in first, since engines know no priorities.
#[derive(Clone)]
pub(crate) struct Slots {
    size: u32,
    free: Arc<Semaphore>,
    waiting: Arc<AtomicU32>,
    busy: Arc<Mutex<Busy>>,
}

/// Counts a waiting request for as long as it waits, also when its caller goes away.
struct Waiting<'a>(&'a AtomicU32);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Slots {
    pub(crate) fn new(size: u32) -> Self {
        let busy = Busy {
            running: 0,
            total: Duration::ZERO,
            counted_until: Instant::now(),
        };
        Self {
            size,
            free: Arc::new(Semaphore::new(size as usize)),
            waiting: Arc::default(),
            busy: Arc::new(Mutex::new(busy)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Busy> {
        self.busy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a slot.
    pub(crate) async fn acquire(&self) -> Slot {
        let waiting = Waiting::new(&self.waiting);
        // The semaphore is never closed, so the permit is always granted.
        if let Ok(permit) = self.free.acquire().await {
            permit.forget();
        }
        drop(waiting);
        let mut busy = self.lock();
        busy.count();
        busy.running += 1;
        drop(busy);
        Slot {
            slots: self.clone(),
        }
    }

    pub(crate) fn size(&self) -> u32 {
        self.size
    }

    pub(crate) fn occupancy(&self) -> Occupancy {
        Occupancy {
            running: self.lock().running,
            waiting: self.waiting.load(Ordering::SeqCst),
        }
    }

    /// Time that slots were in use, summed over the slots.
    pub(crate) fn busy(&self) -> Duration {
        let mut busy = self.lock();
        busy.count();
        busy.total
    }
}

/// One slot in use; free again on drop.
pub(crate) struct Slot {
    slots: Slots,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut busy = self.slots.lock();
        busy.count();
        busy.running -= 1;
        drop(busy);
        self.slots.free.add_permits(1);
    }
}
