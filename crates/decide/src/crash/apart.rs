//! The one suspect that an upstream may run.

use super::SuspectKey;

/// Keeps suspects apart on one upstream.
///
/// With two suspects in flight a crash would leave two in common with the first crash, and a third
/// upstream would be needed to tell them apart.
#[derive(Debug, Clone, Default)]
pub struct ApartSlot {
    held: Option<SuspectKey>,
}

impl ApartSlot {
    /// A slot that is free.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no suspect runs here.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.held.is_none()
    }

    /// Takes the slot for a suspect that is about to start; returns whether it was free.
    #[must_use]
    pub fn enter(&mut self, key: &SuspectKey) -> bool {
        let is_free = self.is_free();
        if is_free {
            self.held = Some(key.clone());
        }
        is_free
    }

    /// Frees the slot when the run of `key` ends; nothing happens if it was not the one held.
    pub fn leave(&mut self, key: &SuspectKey) {
        if self.held.as_ref() == Some(key) {
            self.held = None;
        }
    }
}
