//! A fake upstream that runs a fixed number of requests at once and queues the rest.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::AttemptId;

/// Time from admission to the first token.
pub(crate) const PREFILL: Duration = Duration::from_millis(50);

/// A run in an engine.
#[derive(Clone)]
pub(crate) struct Run {
    pub(crate) attempt: AttemptId,
    pub(crate) source: usize,
    pub(crate) cost: u64,
    pub(crate) entry: usize,
    pub(crate) link: u64,
    /// When it left the engine's own queue.
    pub(crate) admitted: Option<Duration>,
    pub(crate) counted: u64,
}

pub(crate) struct Engine {
    pub(crate) name: UpstreamName,
    pub(crate) pool: PoolName,
    /// The pool of its last announcement, as known to its sidecar.
    pub(crate) announced: PoolName,
    pub(crate) slots: usize,
    /// Tokens a second in each slot.
    pub(crate) rate: u64,
    pub(crate) active: Vec<Run>,
    pub(crate) queue: VecDeque<Run>,
    pub(crate) leaving: Option<Duration>,
    pub(crate) silent: Option<Duration>,
    busy: Duration,
    counted_at: Duration,
}

impl Engine {
    pub(crate) fn new(name: &str, pool: &PoolName, slots: usize, rate: u64) -> Self {
        Self {
            name: UpstreamName::new(name).expect("a valid name"),
            pool: pool.clone(),
            announced: pool.clone(),
            slots,
            rate,
            active: Vec::new(),
            queue: VecDeque::new(),
            leaving: None,
            silent: None,
            busy: Duration::ZERO,
            counted_at: Duration::ZERO,
        }
    }

    /// Busy time of its slots since the last call.
    pub(crate) fn take_busy(&mut self, now: Duration) -> Duration {
        self.count_busy(now);
        std::mem::take(&mut self.busy)
    }

    /// Queues a run. Returns the next admitted run and its end, if a slot is free.
    pub(crate) fn add(&mut self, now: Duration, run: Run) -> Option<(AttemptId, Duration)> {
        self.queue.push_back(run);
        self.admit(now)
    }

    /// Ends a run. Returns it, and the run admitted in its place.
    pub(crate) fn end(
        &mut self,
        now: Duration,
        attempt: AttemptId,
    ) -> Option<(Run, Option<(AttemptId, Duration)>)> {
        self.count_busy(now);
        let at = self.active.iter().position(|run| run.attempt == attempt)?;
        let run = self.active.swap_remove(at);
        Some((run, self.admit(now)))
    }

    /// Number of tokens that a run has generated.
    pub(crate) fn tokens_generated(&self, now: Duration, run: &Run) -> u64 {
        let since = run.admitted.map_or(now, |at| at + PREFILL);
        let millis = now.saturating_sub(since).as_millis() as u64;
        (millis * self.rate / 1000).min(run.cost)
    }

    fn admit(&mut self, now: Duration) -> Option<(AttemptId, Duration)> {
        self.count_busy(now);
        if self.active.len() >= self.slots {
            return None;
        }
        let mut run = self.queue.pop_front()?;
        run.admitted = Some(now);
        let duration = Duration::from_millis(run.cost * 1000 / self.rate + 1);
        let end = (run.attempt, now + PREFILL + duration);
        self.active.push(run);
        Some(end)
    }

    fn count_busy(&mut self, now: Duration) {
        self.busy += (now - self.counted_at) * self.active.len() as u32;
        self.counted_at = now;
    }
}
