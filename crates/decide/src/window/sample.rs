//! The measurements of one round.

use std::time::Duration;

/// Gaps kept for one round; enough for a steady median, few enough to sort without a thought.
const MAX_GAPS: usize = 64;

/// Times seen since the last change of the limit.
#[derive(Debug, Clone, Default)]
pub(super) struct Round {
    firsts: Vec<Duration>,
    gaps: Vec<Duration>,
    /// Whether the limit was reached while work waited.
    pub(super) wanted_more: bool,
    /// Runs that started in this round and failed.
    pub(super) failures: u32,
}

impl Round {
    pub(super) fn add_first(&mut self, time: Duration) {
        self.firsts.push(time);
    }

    pub(super) fn add_gap(&mut self, gap: Duration) {
        if self.gaps.len() < MAX_GAPS {
            self.gaps.push(gap);
        }
    }

    pub(super) fn firsts(&self) -> usize {
        self.firsts.len()
    }

    /// Median of the times to first token: a few long prompts don't move it, while an engine whose
    /// queue grows shifts every time.
    pub(super) fn median_first(&self) -> Option<Duration> {
        median(&self.firsts)
    }

    pub(super) fn median_gap(&self) -> Option<Duration> {
        median(&self.gaps)
    }
}

fn median(times: &[Duration]) -> Option<Duration> {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}
