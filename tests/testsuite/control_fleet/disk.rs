//! The disk of a simulated control host: what was synced outlives the process, what was not may be lost.

use coltsfootnotch_consensus::{MemberId, Persist, PersistSeq, Recovered};
use rand::Rng;
use rand::rngs::StdRng;

/// The disk of a simulated control host.
pub(crate) struct Disk {
    content: Recovered,
    /// Work under way, each with the millisecond at which its sync ends.
    queue: Vec<(u64, Persist)>,
    /// No sync ends before this millisecond.
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

    /// What a process finds that starts now.
    pub(crate) fn content(&self) -> &Recovered {
        &self.content
    }

    pub(crate) fn persist(&mut self, ends_ms: u64, persist: Persist) {
        self.queue.push((ends_ms, persist));
    }

    /// The last work whose sync has ended.
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

    /// The process ends. Work that was under way may have reached the disk in part.
    pub(crate) fn interrupt(&mut self, rng: &mut StdRng) {
        let reached = rng.random_range(0..=self.queue.len());
        for (_, persist) in self.queue.drain(..).take(reached) {
            self.content.write(persist.work);
        }
    }
}
