//! How long members have been connected, or away.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Membership};

/// Since when members are connected, or are not.
///
/// Every member keeps it, not only the leader: a new leader knows by it how long a voter has been gone,
/// and does not wait anew.
#[derive(Debug, Clone, Default)]
pub struct Contact {
    here_since: BTreeMap<MemberId, Duration>,
    away_since: BTreeMap<MemberId, Duration>,
}

impl Contact {
    /// Notes who is connected now.
    pub fn note(&mut self, now: Duration, members: &Membership, connected: &BTreeSet<MemberId>) {
        let is_here = |m: &MemberId| connected.contains(m);
        self.here_since
            .retain(|m, _| members.contains(m) && is_here(m));
        self.away_since
            .retain(|m, _| members.contains(m) && !is_here(m));
        for member in members.all() {
            let since = if is_here(member) {
                &mut self.here_since
            } else {
                &mut self.away_since
            };
            since.entry(member.clone()).or_insert(now);
        }
    }

    pub(super) fn away_for(&self, now: Duration, member: &MemberId) -> Duration {
        let since = self.away_since.get(member).copied().unwrap_or(now);
        now.saturating_sub(since)
    }

    pub(super) fn here_for(&self, now: Duration, member: &MemberId) -> Duration {
        let since = self.here_since.get(member).copied().unwrap_or(now);
        now.saturating_sub(since)
    }
}
