//! Who is connected, and for how long members have been connected or away.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Membership};

use super::SeededHello;

/// Who is connected, and since when members are or are not.
///
/// Every member keeps it, not only the leader: a new leader knows by it how long a voter has been gone,
/// and does not wait anew.
#[derive(Debug, Clone, Default)]
pub struct Contact {
    connected: BTreeSet<MemberId>,
    first_starters: BTreeSet<MemberId>,
    /// For each member of the group whether it is connected, and since when.
    since: BTreeMap<MemberId, (bool, Duration)>,
}

impl Contact {
    /// Notes who is connected now: `own`, and those of `others` that keep a log, whether they belong to the
    /// group or not.
    pub fn note<'a>(
        &mut self,
        now: Duration,
        members: &Membership,
        own: &MemberId,
        others: impl IntoIterator<Item = (&'a MemberId, &'a SeededHello)>,
    ) {
        self.connected = BTreeSet::from([own.clone()]);
        self.first_starters.clear();
        for (member, hello) in others {
            if hello.keeps_log {
                self.connected.insert(member.clone());
                if hello.first_start {
                    self.first_starters.insert(member.clone());
                }
            }
        }
        self.since.retain(|m, _| members.contains(m));
        for member in members.all() {
            let is_here = self.connected.contains(member);
            let known = self.since.entry(member.clone()).or_insert((is_here, now));
            if known.0 != is_here {
                *known = (is_here, now);
            }
        }
    }

    /// Members that are connected and the own one, whether they belong to the group or not.
    pub(super) fn connected(&self) -> &BTreeSet<MemberId> {
        &self.connected
    }

    /// Whether the host of a connected member belongs to the first start of the fleet.
    pub(super) fn is_first_starter(&self, member: &MemberId) -> bool {
        self.first_starters.contains(member)
    }

    /// How long a member of the group has been away; nothing while it is connected.
    pub(super) fn away_for(&self, now: Duration, member: &MemberId) -> Duration {
        self.time(now, member, false)
    }

    /// How long a member of the group has been connected; nothing while it is away.
    pub(super) fn here_for(&self, now: Duration, member: &MemberId) -> Duration {
        self.time(now, member, true)
    }

    fn time(&self, now: Duration, member: &MemberId, here: bool) -> Duration {
        let known = self.since.get(member).filter(|known| known.0 == here);
        known.map_or(Duration::ZERO, |(_, since)| now.saturating_sub(*since))
    }
}
