//! Attempts that an engine runs or has run, for cancelling and resuming by their id.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use tokio::sync::Notify;

/// Ended attempts that an engine remembers for a resume.
const REMEMBERED: usize = 4096;

/// The attempts of one engine.
#[derive(Default)]
pub(crate) struct Attempts {
    running: HashMap<String, Arc<Notify>>,
    known: HashMap<String, u64>,
    order: VecDeque<String>,
}

impl Attempts {
    /// Registers an attempt at `prompt_id`; returns its cancellation and whether the engine has
    /// the attempt's cache.
    pub(crate) fn begin(&mut self, attempt: &str, prompt_id: u64) -> (Arc<Notify>, bool) {
        let cancel = Arc::new(Notify::new());
        self.running.insert(attempt.to_owned(), Arc::clone(&cancel));
        let before = self.remember(attempt, prompt_id);
        (cancel, before == Some(prompt_id))
    }

    /// Remembers the prompt of an attempt; returns the one remembered before.
    pub(crate) fn remember(&mut self, attempt: &str, prompt_id: u64) -> Option<u64> {
        let before = self.known.insert(attempt.to_owned(), prompt_id);
        if before.is_none() {
            self.order.push_back(attempt.to_owned());
        }
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        before
    }

    /// The prompt of an attempt that the engine remembers.
    pub(crate) fn known(&self, attempt: &str) -> Option<u64> {
        self.known.get(attempt).copied()
    }

    /// Forgets the running attempt, unless a resumed run of it has taken its place.
    pub(crate) fn end(&mut self, attempt: &str, cancel: &Arc<Notify>) {
        let current = self.running.get(attempt);
        if current.is_some_and(|current| Arc::ptr_eq(current, cancel)) {
            self.running.remove(attempt);
        }
    }

    /// Cancels a running attempt; returns whether there was one.
    pub(crate) fn cancel(&mut self, attempt: &str) -> bool {
        let Some(cancel) = self.running.remove(attempt) else {
            return false;
        };
        cancel.notify_one();
        true
    }

    /// Forgets everything, as a crash does.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
