//! Upstreams considered for a request.

use coltsfootnotch_types::{DomainName, UpstreamName};

/// Distance class of an upstream from the local host, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// On the local host.
    Host,
    /// In the same failure domain.
    Domain,
    /// In another failure domain.
    Remote,
}

impl Proximity {
    /// Distance class between hosts in the failure domains `from` and `to`.
    #[must_use]
    pub fn between(from: &DomainName, to: &DomainName) -> Self {
        if from == to {
            Self::Domain
        } else {
            Self::Remote
        }
    }
}

/// An upstream considered for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the upstream.
    pub upstream: &'a UpstreamName,
    /// Distance class from the local host.
    pub proximity: Proximity,
    /// Slots that may be used: the concurrency window scaled by health and version weight (see
    /// [`usable_slots`](super::usable_slots)).
    pub usable: u32,
    /// Requests in progress on it.
    pub in_flight: u32,
}

impl Candidate<'_> {
    /// Number of free slots.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.usable.saturating_sub(self.in_flight)
    }
}
