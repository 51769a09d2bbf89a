//! What is known of an upstream that could take a request.

use coltsfootnotch_types::{DomainName, UpstreamName};

/// How far an upstream is from the host that asks; nearer is less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Nearness {
    /// On the same host.
    Host,
    /// In the same failure domain.
    Domain,
    /// In another failure domain.
    Away,
}

impl Nearness {
    /// How far failure domain `to` is from failure domain `from`.
    #[must_use]
    pub fn between(from: &DomainName, to: &DomainName) -> Self {
        if from == to { Self::Domain } else { Self::Away }
    }
}

/// An upstream that could take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub upstream: &'a UpstreamName,
    /// How far it is.
    pub nearness: Nearness,
    /// Requests it may hold: its window, scaled by health and version (see
    /// [`usable_slots`](super::usable_slots)).
    pub usable: u32,
    /// Requests it holds.
    pub in_flight: u32,
}

impl Candidate<'_> {
    /// Slots that are free.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.usable.saturating_sub(self.in_flight)
    }
}
