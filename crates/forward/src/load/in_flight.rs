//! Requests at an upstream, of one or all entries.

use std::ops::AddAssign;

use coltsfootnotch_wire::UpstreamUsage;

/// Requests at an upstream that have not finished.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Uncached prompt tokens of requests without a first event.
    pub waiting_tokens: u64,
    /// Requests that have not finished.
    pub running: u32,
    /// Estimated tokens of the upstream's memory that they occupy.
    pub held_tokens: u64,
}

impl InFlight {
    /// A row of a report with these requests and no counters.
    pub(super) fn usage<N>(self, id: N) -> UpstreamUsage<N> {
        let usage: UpstreamUsage<()> = UpstreamUsage {
            waiting_tokens: self.waiting_tokens,
            running: self.running,
            held_tokens: self.held_tokens,
            ..UpstreamUsage::default()
        };
        usage.with_id(id)
    }
}

/// Saturates, since other hosts report a part of what is added.
impl AddAssign for InFlight {
    fn add_assign(&mut self, other: Self) {
        self.waiting_tokens = self.waiting_tokens.saturating_add(other.waiting_tokens);
        self.running = self.running.saturating_add(other.running);
        self.held_tokens = self.held_tokens.saturating_add(other.held_tokens);
    }
}

impl<N> From<&UpstreamUsage<N>> for InFlight {
    fn from(usage: &UpstreamUsage<N>) -> Self {
        Self {
            waiting_tokens: usage.waiting_tokens,
            running: usage.running,
            held_tokens: usage.held_tokens,
        }
    }
}
