//! Measurements of one round.

use std::time::Duration;

/// Maximum number of gaps between tokens kept per round.
const MAX_TOKEN_GAPS: usize = 64;

/// Times measured since the last change of the limit.
#[derive(Debug, Clone, Default)]
pub(super) struct Round {
    first_tokens: Vec<Duration>,
    token_gaps: Vec<Duration>,
    /// Whether the limit was reached while requests waited.
    pub(super) reached_limit: bool,
    /// Runs that started in this round and failed.
    pub(super) failures: u32,
}

impl Round {
    pub(super) fn add_first_token(&mut self, time: Duration) {
        self.first_tokens.push(time);
    }

    pub(super) fn add_token_gap(&mut self, gap: Duration) {
        if self.token_gaps.len() < MAX_TOKEN_GAPS {
            self.token_gaps.push(gap);
        }
    }

    pub(super) fn first_token_count(&self) -> usize {
        self.first_tokens.len()
    }

    /// Median time to first token. Unlike the mean, it does not change with a few long prompts.
    pub(super) fn median_first_token(&self) -> Option<Duration> {
        median(&self.first_tokens)
    }

    pub(super) fn median_token_gap(&self) -> Option<Duration> {
        median(&self.token_gaps)
    }
}

fn median(times: &[Duration]) -> Option<Duration> {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied()
}
