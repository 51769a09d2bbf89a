//! Claims one of several interchangeable leases: a replica lease or a permit of the weight store.

use std::time::Duration;

use coltsfootnotch_state::BodyDigest;
use coltsfootnotch_types::{LeaseName, UpstreamName};

use super::lease_set::LeaseSet;

/// A lease that satisfies the claim, and what it grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LeaseCandidate {
    pub(super) lease: LeaseName,
    /// The version or adapter that the lease allows to be loaded; empty for a permit.
    pub(super) subject: String,
}

/// Requests leases one after the other until one is granted, and holds that one.
#[derive(Debug, Default)]
pub(super) struct LeaseClaim {
    candidates: Vec<LeaseCandidate>,
    current: usize,
    refusals: usize,
    retry_at: Duration,
}

impl LeaseClaim {
    /// Replaces the candidates. A held lease that is still a candidate is kept, so that a change of
    /// the manifest reloads as little as possible.
    pub(super) fn set_candidates(
        &mut self,
        candidates: Vec<LeaseCandidate>,
        leases: &mut LeaseSet,
    ) {
        if self.candidates == candidates {
            return;
        }
        let previous = self.candidates.get(self.current).cloned();
        self.candidates = candidates;
        self.refusals = 0;
        self.retry_at = Duration::ZERO;
        let kept_index = self
            .candidates
            .iter()
            .position(|candidate| Some(candidate) == previous.as_ref());
        if let (None, Some(old)) = (kept_index, &previous) {
            leases.release(&old.lease);
        }
        self.current = kept_index.unwrap_or(0);
    }

    /// Returns the held lease, or else requests the next candidate. Once all candidates were
    /// refused, the next round starts after `retry_delay`.
    pub(super) fn poll(
        &mut self,
        now: Duration,
        ttl: Duration,
        retry_delay: Duration,
        leases: &mut LeaseSet,
    ) -> Option<&LeaseCandidate> {
        if now < self.retry_at {
            return None;
        }
        let lease = &self.candidates.get(self.current)?.lease;
        leases.request(lease, ttl);
        if leases.fencing_number(lease, now).is_some() {
            self.refusals = 0;
            return self.candidates.get(self.current);
        }
        if leases.is_refused(lease) {
            leases.release(lease);
            self.current = (self.current + 1) % self.candidates.len();
            self.refusals += 1;
            if self.refusals == self.candidates.len() {
                self.refusals = 0;
                self.retry_at = now + retry_delay;
            }
        }
        None
    }

    /// Whether there is any candidate.
    pub(super) fn has_candidates(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// Releases the lease that is held or requested.
    pub(super) fn release(&mut self, leases: &mut LeaseSet) {
        if let Some(candidate) = self.candidates.get(self.current) {
            leases.release(&candidate.lease);
        }
        self.refusals = 0;
        self.retry_at = Duration::ZERO;
    }
}

/// The `count` candidates of an upstream, starting at one derived from its name. The different
/// starts keep the refusals low when many upstreams claim leases at once.
pub(super) fn candidates(
    count: u32,
    upstream: &UpstreamName,
    subject: &str,
    lease: impl Fn(u32) -> LeaseName,
) -> Vec<LeaseCandidate> {
    let [a, b, c, d, ..] = BodyDigest::of(upstream.as_str().as_bytes()).0;
    let first = u32::from_be_bytes([a, b, c, d]) % count.max(1);
    let numbers = (first..count).chain(0..first);
    let candidate = |number| LeaseCandidate {
        lease: lease(number),
        subject: subject.to_owned(),
    };
    numbers.map(candidate).collect()
}
