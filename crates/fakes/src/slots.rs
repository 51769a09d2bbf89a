//! The slots of an upstream's batch, assigned in order of arrival.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

/// The number of running and waiting requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Occupancy {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

/// Accumulates the time that slots are in use.
struct BusyTime {
    running: u32,
    total: Duration,
    updated_at: Instant,
}

impl BusyTime {
    fn update(&mut self) {
        let now = Instant::now();
        self.total += (now - self.updated_at) * self.running;
        self.updated_at = now;
    }
}

/// A fixed number of slots, assigned first-come, first-served.
#[derive(Clone)]
pub(crate) struct Slots {
    size: u32,
    free: Arc<Semaphore>,
    waiting: Arc<AtomicU32>,
    busy_time: Arc<Mutex<BusyTime>>,
}

/// Counts a waiting request until dropped, also when its caller disconnects.
struct WaitingGuard<'a>(&'a AtomicU32);

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Slots {
    pub(crate) fn new(size: u32) -> Self {
        let busy_time = BusyTime {
            running: 0,
            total: Duration::ZERO,
            updated_at: Instant::now(),
        };
        Self {
            size,
            free: Arc::new(Semaphore::new(size as usize)),
            waiting: Arc::default(),
            busy_time: Arc::new(Mutex::new(busy_time)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BusyTime> {
        self.busy_time
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Acquires a slot, waiting until one is free.
    pub(crate) async fn acquire(&self) -> Slot {
        let waiting = WaitingGuard::new(&self.waiting);
        // Never fails, since the semaphore is not closed.
        if let Ok(permit) = self.free.acquire().await {
            permit.forget();
        }
        drop(waiting);
        let mut busy = self.lock();
        busy.update();
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

    /// Time in use, summed over all slots.
    pub(crate) fn busy_time(&self) -> Duration {
        let mut busy = self.lock();
        busy.update();
        busy.total
    }
}

/// An acquired slot, released on drop.
pub(crate) struct Slot {
    slots: Slots,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut busy = self.slots.lock();
        busy.update();
        busy.running -= 1;
        drop(busy);
        self.slots.free.add_permits(1);
    }
}
