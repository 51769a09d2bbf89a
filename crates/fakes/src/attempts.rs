//! Current and past attempts of an engine, for cancelling and resuming by id.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use tokio::sync::Notify;

/// Maximum number of attempts whose prompts are kept for resuming.
const MAX_RECORDED: usize = 4096;

/// The attempts of one engine.
#[derive(Default)]
pub(crate) struct Attempts {
    running: HashMap<String, Arc<Notify>>,
    prompts: HashMap<String, u64>,
    insertion_order: VecDeque<String>,
}

impl Attempts {
    /// Registers a running attempt; returns its cancellation signal and whether the engine has the
    /// attempt's cache.
    pub(crate) fn start(&mut self, attempt: &str, prompt_id: u64) -> (Arc<Notify>, bool) {
        let cancel = Arc::new(Notify::new());
        self.running.insert(attempt.to_owned(), Arc::clone(&cancel));
        let previous = self.record(attempt, prompt_id);
        (cancel, previous == Some(prompt_id))
    }

    /// Records the prompt of an attempt; returns the previously recorded one.
    pub(crate) fn record(&mut self, attempt: &str, prompt_id: u64) -> Option<u64> {
        let previous = self.prompts.insert(attempt.to_owned(), prompt_id);
        if previous.is_none() {
            self.insertion_order.push_back(attempt.to_owned());
        }
        if self.insertion_order.len() > MAX_RECORDED
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.prompts.remove(&oldest);
        }
        previous
    }

    /// The recorded prompt of an attempt.
    pub(crate) fn prompt_id(&self, attempt: &str) -> Option<u64> {
        self.prompts.get(attempt).copied()
    }

    /// Removes the running attempt, unless a resumed run has replaced it.
    pub(crate) fn finish(&mut self, attempt: &str, cancel: &Arc<Notify>) {
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

    /// Removes all attempts, as a crash does.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
