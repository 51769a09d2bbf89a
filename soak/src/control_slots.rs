//! Assigns control hosts to address slots.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maps the number of each control host to its address slot. A replaced host moves to an unused slot. Clones
/// share the map.
#[derive(Debug, Clone)]
pub struct ControlSlots {
    slots: Arc<Mutex<Slots>>,
}

#[derive(Debug)]
struct Slots {
    by_host: Vec<usize>,
    /// Total number of slots.
    count: usize,
    next: usize,
}

impl ControlSlots {
    /// Assigns `controls` hosts to the first of `slots` slots.
    ///
    /// ```
    /// use coltsfootnotch_soak::control_slots::ControlSlots;
    /// let controls = ControlSlots::new(3, 4);
    /// assert_eq!(controls.replace(1), Some(3));
    /// assert_eq!(controls.slots(), [0, 3, 2]);
    /// assert_eq!(controls.replace(0), None);
    /// ```
    #[must_use]
    pub fn new(controls: usize, slots: usize) -> Self {
        let slots = Slots {
            by_host: (0..controls).collect(),
            count: slots,
            next: controls,
        };
        Self {
            slots: Arc::new(Mutex::new(slots)),
        }
    }

    /// Returns the current slot of a control host.
    #[must_use]
    pub fn slot(&self, number: usize) -> usize {
        self.lock().by_host[number]
    }

    /// Returns the number of control hosts.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().by_host.len()
    }

    /// Returns the current slots of all control hosts.
    #[must_use]
    pub fn slots(&self) -> Vec<usize> {
        self.lock().by_host.clone()
    }

    /// Moves a control host to an unused slot and returns it, or `None` if all slots are used.
    pub fn replace(&self, number: usize) -> Option<usize> {
        let mut slots = self.lock();
        let slot = slots.next;
        if slot >= slots.count {
            return None;
        }
        slots.next += 1;
        slots.by_host[number] = slot;
        Some(slot)
    }

    fn lock(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
