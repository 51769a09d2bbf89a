//! A simulated disk: synced writes survive the process, others may be lost.

use coltsfootnotch_consensus::{MemberId, Persist, PersistSeq, Recovered};
use rand::Rng;
use rand::rngs::StdRng;

/// The disk of a simulated control host.
pub(crate) struct Disk {
    content: Recovered,
    /// Unsynced writes, each with the millisecond at which its sync completes.
    queue: Vec<(u64, Persist)>,
    /// No sync completes before this millisecond.
    pub(crate) stalls_until: u64,
}

impl Disk {
    pub(crate) fn empty(member: MemberId) -> Self {
        Self {
            content: Recovered::empty(member),
            queue: Vec::new(),
            stalls_until: 0,
        }
    }

    /// The content that a starting process recovers.
    pub(crate) fn content(&self) -> &Recovered {
        &self.content
    }

    pub(crate) fn persist(&mut self, due_ms: u64, persist: Persist) {
        self.queue.push((due_ms, persist));
    }

    /// Applies the completed writes; returns the last one.
    pub(crate) fn synced(&mut self, now_ms: u64) -> Option<PersistSeq> {
        if now_ms < self.stalls_until {
            return None;
        }
        let mut last = None;
        while self.queue.first().is_some_and(|(due, _)| *due <= now_ms) {
            let (_, persist) = self.queue.remove(0);
            last = Some(persist.seq);
            self.content.write(persist.work);
        }
        last
    }

    /// Interrupts the process. A random prefix of the unsynced writes reaches the disk.
    pub(crate) fn interrupt(&mut self, rng: &mut StdRng) {
        let written = rng.random_range(0..=self.queue.len());
        for (_, persist) in self.queue.drain(..).take(written) {
            self.content.write(persist.work);
        }
    }
}
