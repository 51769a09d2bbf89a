//! Isolation of suspects from each other on one upstream.

use super::SuspectKey;

/// Admits one suspect at a time to an upstream.
///
/// With two suspects of one crash in flight, a second crash does not identify the cause.
#[derive(Debug, Clone, Default)]
pub struct IsolationSlot {
    holder: Option<SuspectKey>,
}

impl IsolationSlot {
    /// A free slot.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no suspect runs on the upstream.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.holder.is_none()
    }

    /// Acquires the slot for a suspect that is about to start; returns whether it was free.
    #[must_use]
    pub fn try_acquire(&mut self, key: &SuspectKey) -> bool {
        let is_free = self.is_free();
        if is_free {
            self.holder = Some(key.clone());
        }
        is_free
    }

    /// Releases the slot if `key` holds it.
    pub fn release(&mut self, key: &SuspectKey) {
        if self.holder.as_ref() == Some(key) {
            self.holder = None;
        }
    }
}
