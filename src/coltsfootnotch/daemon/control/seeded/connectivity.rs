//! Connected control hosts, and how long members have been connected or disconnected.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Membership};

use super::SeededHello;

/// Connected control hosts, and the time of each member's last change of connection.
///
/// Every member tracks it, so that a new leader knows how long a voter has been disconnected.
#[derive(Debug, Clone, Default)]
pub struct Connectivity {
    connected: BTreeSet<MemberId>,
    first_starts: BTreeSet<MemberId>,
    /// For each member of the group, whether it is connected and since when.
    since: BTreeMap<MemberId, (bool, Duration)>,
}

impl Connectivity {
    /// Sets the connected control hosts: `local` and those of `peers` that have a log, including hosts
    /// outside the group.
    pub fn update<'a>(
        &mut self,
        now: Duration,
        members: &Membership,
        local: &MemberId,
        peers: impl IntoIterator<Item = (&'a MemberId, &'a SeededHello)>,
    ) {
        self.connected = BTreeSet::from([local.clone()]);
        self.first_starts.clear();
        for (member, hello) in peers {
            if hello.has_log {
                self.connected.insert(member.clone());
                if hello.first_start {
                    self.first_starts.insert(member.clone());
                }
            }
        }
        self.since.retain(|m, _| members.contains(m));
        for member in members.all() {
            let is_connected = self.connected.contains(member);
            let last = self
                .since
                .entry(member.clone())
                .or_insert((is_connected, now));
            if last.0 != is_connected {
                *last = (is_connected, now);
            }
        }
    }

    /// Connected control hosts and the local one, including hosts outside the group.
    pub(super) fn connected(&self) -> &BTreeSet<MemberId> {
        &self.connected
    }

    /// Whether the host of a connected member was started with the first start of the fleet.
    pub(super) fn is_first_start(&self, member: &MemberId) -> bool {
        self.first_starts.contains(member)
    }

    /// How long a member of the group has been disconnected; zero while it is connected.
    pub(super) fn disconnected_for(&self, now: Duration, member: &MemberId) -> Duration {
        self.time(now, member, false)
    }

    /// How long a member of the group has been connected; zero while it is disconnected.
    pub(super) fn connected_for(&self, now: Duration, member: &MemberId) -> Duration {
        self.time(now, member, true)
    }

    fn time(&self, now: Duration, member: &MemberId, connected: bool) -> Duration {
        let last = self.since.get(member).filter(|last| last.0 == connected);
        last.map_or(Duration::ZERO, |(_, since)| now.saturating_sub(*since))
    }
}
