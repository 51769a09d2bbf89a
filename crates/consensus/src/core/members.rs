//! Membership changes: one at a time; a new member becomes a voter only once it has caught up.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Core, Role};
use crate::progress::Progress;
use crate::{
    ChangeRefused, MemberChange, MemberId, Membership, NotLeader, Payload, PeerStatus, Proposal,
};

impl Core {
    /// Starts a membership change. With [`CoreConfig::promote_learners`](crate::CoreConfig), a new
    /// member is promoted automatically when its synced log has caught up. The voter that a
    /// promoted member replaces is always removed after the promotion.
    ///
    /// # Errors
    /// [`ChangeRefused`]; a refused change was not appended.
    pub fn change_members(
        &mut self,
        now: Duration,
        change: &MemberChange,
    ) -> Result<Proposal, ChangeRefused> {
        self.advance(now);
        if !self.is_leader() {
            let NotLeader { hint } = self.not_leader();
            return Err(ChangeRefused::NotLeader { hint });
        }
        if self.is_changing() || self.log.members().leaving.is_some() {
            return Err(ChangeRefused::Unfinished);
        }
        let next = match change {
            MemberChange::Add { member, replaces } => self.with_learner(member, replaces)?,
            MemberChange::Promote { member, replaces } => self.with_promoted(member, replaces)?,
            MemberChange::Remove { member } => self.check_removable(member)?.without(member),
            MemberChange::Retire { member } => self.check_removable(member)?.retired(member),
        };
        Ok(self.propose_members(next))
    }

    fn with_learner(
        &self,
        member: &MemberId,
        replaces: &Option<MemberId>,
    ) -> Result<Membership, ChangeRefused> {
        let members = self.log.members();
        if members.contains(member) {
            let member = member.clone();
            return Err(ChangeRefused::AlreadyMember { member });
        }
        check_voter(members, replaces)?;
        let mut next = members.clone();
        next.learners.insert(member.clone(), replaces.clone());
        Ok(next)
    }

    fn with_promoted(
        &self,
        member: &MemberId,
        replaces: &Option<MemberId>,
    ) -> Result<Membership, ChangeRefused> {
        let members = self.log.members();
        if !members.learners.contains_key(member) {
            let member = member.clone();
            return Err(ChangeRefused::NotLearner { member });
        }
        check_voter(members, replaces)?;
        if !self.has_caught_up(member) {
            let member = member.clone();
            return Err(ChangeRefused::NotCaughtUp { member });
        }
        Ok(members.promoted(member, replaces.clone()))
    }

    /// The current members, if `member` can be removed from them.
    fn check_removable(&self, member: &MemberId) -> Result<&Membership, ChangeRefused> {
        let members = self.log.members();
        if *member == self.me {
            return Err(ChangeRefused::IsLeader);
        }
        if !members.contains(member) {
            let member = member.clone();
            return Err(ChangeRefused::NotMember { member });
        }
        if members.voters.iter().all(|voter| voter == member) {
            return Err(ChangeRefused::LastVoter);
        }
        Ok(members)
    }

    fn propose_members(&mut self, next: Membership) -> Proposal {
        let current = self.log.members();
        let joined = next.voters.difference(&current.voters).count();
        let left = current.voters.difference(&next.voters).count();
        assert!(joined + left <= 1, "at most one voter changes at a time");
        let proposal = self.append_as_leader(Payload::Members(next));
        self.track_members();
        proposal
    }

    /// Whether a change is uncommitted, or no entry of the leader's term has been committed yet.
    /// Guards against concurrent changes, including one that a previous leader started: majorities
    /// two changes apart need not overlap.
    fn is_changing(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                self.log.members_index() > self.commit || self.commit < leader.term_start
            }
            _ => true,
        }
    }

    /// Proposes the next step of a replacement once the previous step is committed.
    pub(super) fn drive_members(&mut self) {
        if !self.is_leader() || self.is_changing() {
            return;
        }
        let members = self.log.members();
        if let Some(old) = members.leaving.clone() {
            return self.remove_replaced(&old);
        }
        if !self.cfg.promote_learners {
            return;
        }
        let mut learners = members.learners.iter();
        if let Some((learner, replaces)) = learners.find(|(m, _)| self.has_caught_up(m)) {
            let next = members.promoted(learner, replaces.clone());
            self.propose_members(next);
        }
    }

    fn remove_replaced(&mut self, old: &MemberId) {
        if *old != self.me {
            let next = self.log.members().without(old);
            self.propose_members(next);
            return;
        }
        let is_transferring = matches!(&self.role, Role::Leader(l) if l.transfer.is_some());
        if !is_transferring {
            // If no successor is available, the next tick tries again.
            let now = self.now;
            let _ = self.transfer(now, None);
        }
    }

    /// Whether the member has synced everything that was committed at the previous heartbeat,
    /// including an entry of this leader's term.
    fn has_caught_up(&self, member: &MemberId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let [_, target] = leader.commit_at_heartbeats;
        let progress = leader.progress.get(member);
        progress.is_some_and(|p| p.matched >= target)
    }

    /// Replication status of the other members; empty unless this member leads.
    #[must_use]
    pub fn peers(&self) -> BTreeMap<MemberId, PeerStatus> {
        let Role::Leader(leader) = &self.role else {
            return BTreeMap::new();
        };
        let status = |(member, progress): (&MemberId, &Progress)| {
            let status = PeerStatus {
                silent_for: self.now.saturating_sub(progress.last_contact),
                caught_up: self.has_caught_up(member),
            };
            (member.clone(), status)
        };
        leader.progress.iter().map(status).collect()
    }
}

fn check_voter(members: &Membership, voter: &Option<MemberId>) -> Result<(), ChangeRefused> {
    match voter {
        Some(voter) if !members.voters.contains(voter) => {
            let member = voter.clone();
            Err(ChangeRefused::NotMember { member })
        }
        _ => Ok(()),
    }
}
