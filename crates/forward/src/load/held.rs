//! What an upstream has from one or many entries.

use std::ops::AddAssign;

use coltsfootnotch_wire::UpstreamUse;

/// Requests at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// Prompt tokens sent whose answers have not begun.
    pub waiting_tokens: u64,
    /// Requests sent and not ended.
    pub running: u32,
    /// Tokens that these hold in the upstream's memory, by estimate.
    pub held_tokens: u64,
}

impl AddAssign for Held {
    fn add_assign(&mut self, other: Self) {
        self.waiting_tokens += other.waiting_tokens;
        self.running += other.running;
        self.held_tokens += other.held_tokens;
    }
}

impl From<&UpstreamUse> for Held {
    fn from(word: &UpstreamUse) -> Self {
        Self {
            waiting_tokens: word.waiting_tokens,
            running: word.running,
            held_tokens: word.held_tokens,
        }
    }
}
