//! Automatic membership changes by the leader.
//!
//! A voter that is lost for good, or returns with an empty disk, reduces the fault tolerance of the
//! group. Another voter beside it doesn't help: four voters, one of them lost, need all three others.
//! A new member is therefore added as a learner, and is promoted only in place of a lost voter, to the
//! next odd number of voters together with another learner, or below [`MIN_VOTERS`]. A group that has
//! shrunk returns to its [size](Membership::size) as soon as it can; it grows beyond that only by members
//! that stay.
//!
//! An even group removes a lost voter at once, since every majority of `2k` voters without any one voter
//! is a majority of the other `2k - 1`. An odd group gains nothing by that, so it waits longer, requires
//! all other voters to be connected, and never shrinks below [`MIN_VOTERS`].

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_consensus::{MemberChange, MemberId, Membership, PeerStatus};

use super::Connectivity;

/// Most voters; seven tolerate the loss of three.
pub const MAX_VOTERS: usize = 7;
/// Fewest voters that the group shrinks to; three tolerate the loss of one.
pub const MIN_VOTERS: usize = 3;
/// Most learners: enough to grow to the next odd number, or to replace two voters.
pub const MAX_LEARNERS: usize = 2;
/// Silence after which a member counts as lost. A restart takes about a second.
const LOST_AFTER: Duration = Duration::from_millis(1_500);
/// Longest silence of a member that counts as reachable; some heartbeat intervals.
const RECENT_CONTACT: Duration = Duration::from_millis(500);
/// Silence after which a voter of an odd group is removed without a replacement. Longer than usual
/// process stalls and network partitions, from which hosts return.
const REMOVE_VOTER_AFTER: Duration = Duration::from_secs(8);
/// How long a new member has to be connected before the group grows beyond its size by it. Longer than a
/// planned replacement takes.
const GROW_AFTER: Duration = Duration::from_secs(30);

/// The leader's view of the group and of hosts that could join it.
#[derive(Debug, Clone, Copy)]
pub struct GroupView<'a> {
    /// The members of the group.
    pub members: &'a Membership,
    /// Replication state of the other members.
    pub peers: &'a BTreeMap<MemberId, PeerStatus>,
    /// Control hosts connected to the leader.
    pub connectivity: &'a Connectivity,
}

impl GroupView<'_> {
    /// The next change, if one is due.
    #[must_use]
    pub fn next_change(&self, now: Duration) -> Option<MemberChange> {
        if self.members.leaving.is_some() {
            return None;
        }
        self.shrink_to_odd(now)
            .or_else(|| self.replace(now))
            .or_else(|| self.remove_lost_learner(now))
            .or_else(|| self.admit())
            .or_else(|| self.grow(now))
            .or_else(|| self.shrink_from_odd(now))
    }

    fn shrink_to_odd(&self, now: Duration) -> Option<MemberChange> {
        if self.has_odd_voters() || self.members.voters.len() <= MIN_VOTERS {
            return None;
        }
        let member = self.lost_voter(now)?.clone();
        Some(MemberChange::Remove { member })
    }

    fn replace(&self, now: Duration) -> Option<MemberChange> {
        let lost = self.lost_voter(now);
        self.ready_learners().find_map(|learner| {
            let named = self.members.learners.get(learner)?.as_ref();
            let named = named.filter(|m| self.members.voters.contains(*m));
            let replaced = named.or(lost)?;
            Some(MemberChange::Promote {
                member: learner.clone(),
                replaces: Some(replaced.clone()),
            })
        })
    }

    /// Removes a lost learner, so that it doesn't block new members.
    fn remove_lost_learner(&self, now: Duration) -> Option<MemberChange> {
        let mut learners = self.members.learners.keys();
        let lost =
            learners.find(|m| self.has_other_disk(m) || self.silent_for(now, m) >= LOST_AFTER)?;
        let member = lost.clone();
        Some(MemberChange::Remove { member })
    }

    fn admit(&self) -> Option<MemberChange> {
        if self.members.learners.len() >= MAX_LEARNERS {
            return None;
        }
        let new_member = self
            .connectivity
            .connected()
            .iter()
            .find(|m| !self.members.contains(m))?;
        Some(MemberChange::Add {
            member: new_member.clone(),
            replaces: None,
        })
    }

    fn grow(&self, now: Duration) -> Option<MemberChange> {
        let voters = self.members.voters.len();
        let needed = if voters < MIN_VOTERS || !self.has_odd_voters() {
            1
        } else {
            2
        };
        let returns_to_size = voters + needed <= self.members.size;
        let is_eligible =
            |m: &&MemberId| needed == 1 || returns_to_size || self.is_established(now, m);
        let learners: Vec<_> = self.ready_learners().filter(is_eligible).collect();
        let fits = voters + needed <= MAX_VOTERS;
        if !fits || learners.len() < needed || !self.has_all_voters_ready() {
            return None;
        }
        let member = learners.first().copied()?.clone();
        Some(MemberChange::Promote {
            member,
            replaces: None,
        })
    }

    /// Whether the learner has been connected long enough to grow the group by it. In a planned replacement
    /// the old voter leaves soon after the new member joins, and growing would leave a lost voter behind.
    fn is_established(&self, now: Duration, learner: &MemberId) -> bool {
        let is_first_start = self.connectivity.is_first_start(learner);
        is_first_start || self.connectivity.connected_for(now, learner) >= GROW_AFTER
    }

    fn shrink_from_odd(&self, now: Duration) -> Option<MemberChange> {
        let voters = &self.members.voters;
        if voters.len() <= MIN_VOTERS {
            return None;
        }
        let is_lost = |m: &&MemberId| self.silent_for(now, m) >= REMOVE_VOTER_AFTER;
        let member = voters.iter().find(is_lost)?;
        let mut others = voters.iter().filter(|m| *m != member);
        others
            .all(|m| self.connectivity.connected().contains(m))
            .then(|| MemberChange::Remove {
                member: member.clone(),
            })
    }

    /// Whether every voter is connected and up to date. A missing voter may be lost but not silent for long
    /// enough to be replaced; the group must not grow beside it.
    fn has_all_voters_ready(&self) -> bool {
        // The leader has no entry in `peers`.
        let is_ready = |m| {
            self.connectivity.connected().contains(m) && self.peers.get(m).is_none_or(is_up_to_date)
        };
        self.members.voters.iter().all(is_ready)
    }

    fn has_odd_voters(&self) -> bool {
        !self.members.voters.len().is_multiple_of(2)
    }

    /// A lost voter, preferably one that can't return.
    fn lost_voter(&self, now: Duration) -> Option<&MemberId> {
        let voters = &self.members.voters;
        let lost_disk = voters.iter().find(|m| self.has_other_disk(m));
        lost_disk.or_else(|| {
            let silent = voters.iter().map(|m| (self.silent_for(now, m), m));
            let longest = silent.max_by_key(|(silent, _)| *silent)?;
            (longest.0 >= LOST_AFTER).then_some(longest.1)
        })
    }

    /// Whether the member's host runs with another disk, so that the member can never return.
    fn has_other_disk(&self, member: &MemberId) -> bool {
        let current_member = self
            .connectivity
            .connected()
            .iter()
            .find(|m| m.host == member.host);
        current_member.is_some_and(|m| m != member)
    }

    /// How long the member has not responded or been disconnected, whichever is longer. A connected member
    /// that doesn't respond, as with a hanging disk, counts as lost as well.
    fn silent_for(&self, now: Duration, member: &MemberId) -> Duration {
        let unanswered = self.peers.get(member).map(|peer| peer.silent_for);
        unanswered
            .unwrap_or_default()
            .max(self.connectivity.disconnected_for(now, member))
    }

    /// Learners that can be promoted now: connected and up to date. The vote of an unreachable learner could
    /// be needed beside a lost voter, and the group could not commit the promotion.
    fn ready_learners(&self) -> impl Iterator<Item = &MemberId> {
        let learners = self.members.learners.keys();
        learners.filter(|m| {
            self.connectivity.connected().contains(*m)
                && self.peers.get(*m).is_some_and(is_up_to_date)
        })
    }
}

/// Whether a member has responded recently and has caught up.
fn is_up_to_date(peer: &PeerStatus) -> bool {
    peer.caught_up && peer.silent_for < RECENT_CONTACT
}
