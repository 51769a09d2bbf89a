//! Memory that a listener may hold for its clients.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A limit on the memory that all clients of a listener hold together. Clones share it.
///
/// ```
/// use coltsfootnotch::util::memory_budget::MemoryBudget;
/// let budget = MemoryBudget::new(100);
/// let (mut one, mut other) = (budget.hold(), budget.hold());
/// assert!(one.try_resize(80));
/// assert!(!other.try_resize(30), "more than is left");
/// drop(one);
/// assert!(other.try_resize(30));
/// ```
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: u64,
    used: Arc<AtomicU64>,
}

/// A part of a [`MemoryBudget`], held until it is dropped.
#[derive(Debug)]
pub struct MemoryHold {
    budget: MemoryBudget,
    bytes: u64,
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            used: Arc::default(),
        }
    }

    /// A part of no bytes.
    #[must_use]
    pub fn hold(&self) -> MemoryHold {
        MemoryHold {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl MemoryHold {
    /// Holds `bytes` from now on, unless they are more than before and than the budget has; returns whether it does.
    #[must_use]
    pub fn try_resize(&mut self, bytes: u64) -> bool {
        let used = &self.budget.used;
        if bytes <= self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        } else {
            let more = bytes - self.bytes;
            let fits = |used: u64| {
                used.checked_add(more)
                    .filter(|sum| *sum <= self.budget.limit)
            };
            if used
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
                .is_err()
            {
                return false;
            }
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
