//! One of several leases, whichever is free: a place for a version, or a permit of the weight store.

use std::time::Duration;

use coltsfootnotch_state::BodyDigest;
use coltsfootnotch_types::{LeaseName, UpstreamName};

use super::lease_set::LeaseSet;

/// A lease that would do, and what it stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Choice {
    pub(super) lease: LeaseName,
    /// What the lease stands for, such as the version; empty for a permit.
    pub(super) of: String,
}

/// Tries leases one after the other until one is granted, and keeps that one.
#[derive(Debug, Default)]
pub(super) struct Claim {
    choices: Vec<Choice>,
    at: usize,
    tried: usize,
    rest_until: Duration,
}

impl Claim {
    /// Changes what would do. A lease that is held and still does is kept, so that a change of the
    /// manifest moves as little as possible.
    pub(super) fn set_choices(&mut self, choices: Vec<Choice>, leases: &mut LeaseSet) {
        if self.choices == choices {
            return;
        }
        let present = self.choices.get(self.at).cloned();
        self.choices = choices;
        self.tried = 0;
        self.rest_until = Duration::ZERO;
        let kept = self
            .choices
            .iter()
            .position(|choice| Some(choice) == present.as_ref());
        if let (None, Some(old)) = (kept, &present) {
            leases.give_up(&old.lease);
        }
        self.at = kept.unwrap_or(0);
    }

    /// The lease that is held; otherwise the next one is asked for. When every one was refused, the
    /// next round begins after `rest`.
    pub(super) fn poll(
        &mut self,
        now: Duration,
        ttl: Duration,
        rest: Duration,
        leases: &mut LeaseSet,
    ) -> Option<&Choice> {
        if now < self.rest_until {
            return None;
        }
        let lease = &self.choices.get(self.at)?.lease;
        leases.want(lease, ttl);
        if leases.number(lease, now).is_some() {
            self.tried = 0;
            return self.choices.get(self.at);
        }
        if leases.is_refused(lease) {
            leases.give_up(lease);
            self.at = (self.at + 1) % self.choices.len();
            self.tried += 1;
            if self.tried == self.choices.len() {
                self.tried = 0;
                self.rest_until = now + rest;
            }
        }
        None
    }

    /// Whether any lease would do.
    pub(super) fn has_choices(&self) -> bool {
        !self.choices.is_empty()
    }

    /// Gives up what is held or asked for.
    pub(super) fn give_up(&mut self, leases: &mut LeaseSet) {
        if let Some(choice) = self.choices.get(self.at) {
            leases.give_up(&choice.lease);
        }
        self.tried = 0;
        self.rest_until = Duration::ZERO;
    }
}

/// `count` choices for an upstream, from one that depends on the upstream on: if all upstreams began
/// with the first one, the last of `n` would be refused `n - 1` times.
pub(super) fn choices(
    count: u32,
    upstream: &UpstreamName,
    of: &str,
    lease: impl Fn(u32) -> LeaseName,
) -> Vec<Choice> {
    let [a, b, c, d, ..] = BodyDigest::of(upstream.as_str().as_bytes()).0;
    let first = u32::from_be_bytes([a, b, c, d]) % count.max(1);
    let numbers = (first..count).chain(0..first);
    let choice = |number| Choice {
        lease: lease(number),
        of: of.to_owned(),
    };
    numbers.map(choice).collect()
}
