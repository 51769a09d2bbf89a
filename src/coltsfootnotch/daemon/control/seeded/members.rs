//! Which change of members the leader makes next, without an operator.
//!
//! **Failure.** A control host is lost for good, or comes back with an empty disk. As long as it has a
//! vote, the group bears one loss less. A newcomer that gets a vote beside it makes that worse: four
//! voters, one of them gone, need all three others.
//!
//! **Safeguard.** A newcomer receives the log as a learner and stays one. It gets a vote only
//!
//! - in place of a voter that is gone, which is decided when it is given the vote, not when it came;
//! - or where that lets the group bear more: together with another, to the next odd number, or below
//!   [`MIN_VOTERS`].
//!
//! A group of an even number removes a voter that is gone at once. That can't harm: every majority of
//! `2k` voters, less any one of them, is still a majority of the `2k - 1` others. Removing one of an odd
//! number gains nothing by itself and costs its return, so the group waits longer, does it only while all
//! others are connected, and never goes below [`MIN_VOTERS`].

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_consensus::{MemberChange, MemberId, Membership, PeerStatus};

use super::Contact;

/// Most voters: seven bear the loss of three, and every change costs a message to each.
pub const MAX_VOTERS: usize = 7;
/// Fewest voters that the group shrinks to: three bear the loss of one.
pub const MIN_VOTERS: usize = 3;
/// Most learners: two make the next odd number of voters, or replace two voters.
pub const MAX_LEARNERS: usize = 2;
/// Silence after which a member counts as gone. A restart takes about a second.
const GONE_AFTER: Duration = Duration::from_millis(1_500);
/// Silence up to which a member is taken for present: some heartbeats.
const HEARD_WITHIN: Duration = Duration::from_millis(500);
/// Silence after which a voter of an odd number is removed without a replacement. Longer than hosts
/// usually freeze or are cut off, since those come back.
const REMOVE_AFTER: Duration = Duration::from_secs(8);
/// Time for which a newcomer has to be there before the group grows by it. Longer than a planned
/// replacement takes.
const GROW_AFTER: Duration = Duration::from_secs(30);

/// What the leader knows of the group and of those that could join it.
#[derive(Debug, Clone, Copy)]
pub struct GroupView<'a> {
    /// The members of the group.
    pub members: &'a Membership,
    /// What the leader's log knows of the other members.
    pub peers: &'a BTreeMap<MemberId, PeerStatus>,
    /// Who is connected to the leader, and since when.
    pub contact: &'a Contact,
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
            .or_else(|| self.give_up_learner(now))
            .or_else(|| self.admit())
            .or_else(|| self.grow(now))
            .or_else(|| self.shrink_from_odd(now))
    }

    fn shrink_to_odd(&self, now: Duration) -> Option<MemberChange> {
        if self.has_odd_voters() || self.members.voters.len() <= MIN_VOTERS {
            return None;
        }
        let member = self.gone_voter(now)?.clone();
        Some(MemberChange::Remove { member })
    }

    fn replace(&self, now: Duration) -> Option<MemberChange> {
        let gone = self.gone_voter(now);
        self.ready_learners().find_map(|learner| {
            let named = self.members.learners.get(learner)?.as_ref();
            let named = named.filter(|m| self.members.voters.contains(*m));
            let replaced = named.or(gone)?;
            Some(MemberChange::Promote {
                member: learner.clone(),
                replaces: Some(replaced.clone()),
            })
        })
    }

    /// Gives up a learner that does not return, so that it keeps no newcomer out.
    fn give_up_learner(&self, now: Duration) -> Option<MemberChange> {
        let mut learners = self.members.learners.keys();
        let gone =
            learners.find(|m| self.has_other_disk(m) || self.silent_for(now, m) >= GONE_AFTER)?;
        let member = gone.clone();
        Some(MemberChange::Remove { member })
    }

    fn admit(&self) -> Option<MemberChange> {
        if self.members.learners.len() >= MAX_LEARNERS {
            return None;
        }
        let newcomer = self
            .contact
            .connected()
            .iter()
            .find(|m| !self.members.contains(m))?;
        Some(MemberChange::Add {
            member: newcomer.clone(),
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
        let settled = |m: &&MemberId| needed == 1 || self.has_come_to_stay(now, m);
        let learners: Vec<_> = self.ready_learners().filter(settled).collect();
        let fits = voters + needed <= MAX_VOTERS;
        if !fits || learners.len() < needed || !self.has_all_voters() {
            return None;
        }
        let member = learners.first().copied()?.clone();
        Some(MemberChange::Promote {
            member,
            replaces: None,
        })
    }

    /// Whether the learner is no newcomer in place of a voter that is about to leave: a group that grew
    /// by two of those would have two voters too many, gone for good, once the others leave.
    fn has_come_to_stay(&self, now: Duration, learner: &MemberId) -> bool {
        let is_first_start = self.contact.is_first_starter(learner);
        is_first_start || self.contact.here_for(now, learner) >= GROW_AFTER
    }

    fn shrink_from_odd(&self, now: Duration) -> Option<MemberChange> {
        let voters = &self.members.voters;
        if voters.len() <= MIN_VOTERS {
            return None;
        }
        let gone = |m: &&MemberId| self.silent_for(now, m) >= REMOVE_AFTER;
        let member = voters.iter().find(gone)?;
        let mut others = voters.iter().filter(|m| *m != member);
        others
            .all(|m| self.contact.connected().contains(m))
            .then(|| MemberChange::Remove {
                member: member.clone(),
            })
    }

    /// Whether every voter has just been heard and has caught up. One that is missing may be gone without
    /// having been silent for long enough to be replaced; the group must not grow beside it.
    fn has_all_voters(&self) -> bool {
        // The leader is no peer of its own.
        let is_here =
            |m| self.contact.connected().contains(m) && self.peers.get(m).is_none_or(follows);
        self.members.voters.iter().all(is_here)
    }

    fn has_odd_voters(&self) -> bool {
        !self.members.voters.len().is_multiple_of(2)
    }

    /// A voter that is gone, preferably one that can't return.
    fn gone_voter(&self, now: Duration) -> Option<&MemberId> {
        let voters = &self.members.voters;
        let lost_disk = voters.iter().find(|m| self.has_other_disk(m));
        lost_disk.or_else(|| {
            let silent = voters.iter().map(|m| (self.silent_for(now, m), m));
            let longest = silent.max_by_key(|(silent, _)| *silent)?;
            (longest.0 >= GONE_AFTER).then_some(longest.1)
        })
    }

    /// Whether the host of the member runs with another disk, so that the member can never return.
    fn has_other_disk(&self, member: &MemberId) -> bool {
        let on_host = self
            .contact
            .connected()
            .iter()
            .find(|m| m.host == member.host);
        on_host.is_some_and(|m| m != member)
    }

    /// How long the member has not answered or not been connected, whichever is longer. A member that is
    /// connected and does not answer, as with a disk that hangs, bears no loss either.
    fn silent_for(&self, now: Duration, member: &MemberId) -> Duration {
        let unheard = self.peers.get(member).map(|peer| peer.silent_for);
        unheard
            .unwrap_or_default()
            .max(self.contact.away_for(now, member))
    }

    /// Learners that can get a vote now. One that has just been lost must not: beside a voter that is gone
    /// its vote would be needed, and the group could not even commit that it has one.
    fn ready_learners(&self) -> impl Iterator<Item = &MemberId> {
        let learners = self.members.learners.keys();
        learners.filter(|m| {
            self.contact.connected().contains(*m) && self.peers.get(*m).is_some_and(follows)
        })
    }
}

/// Whether a member has just been heard and lacks nothing.
fn follows(peer: &PeerStatus) -> bool {
    peer.caught_up && peer.silent_for < HEARD_WITHIN
}
