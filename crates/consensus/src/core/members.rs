//! Changes of members: one at a time, and a newcomer counts only once it has caught up.

use std::time::Duration;

use super::{Core, Role};
use crate::{
    ChangeRefused, LogIndex, MemberChange, MemberId, Membership, NotLeader, Payload, Proposal,
};

impl Core {
    /// Begins a change of members. Adding goes on by itself: the newcomer is promoted when its
    /// synced log has caught up, and the voter that it replaces is removed after that.
    ///
    /// # Errors
    /// [`ChangeRefused`]; a refused change is in no log.
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
            MemberChange::Remove { member } => self.with_removed(member)?,
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
        if let Some(old) = replaces
            && !members.voters.contains(old)
        {
            let member = old.clone();
            return Err(ChangeRefused::NotMember { member });
        }
        let mut next = members.clone();
        next.learners.insert(member.clone(), replaces.clone());
        Ok(next)
    }

    fn with_removed(&self, member: &MemberId) -> Result<Membership, ChangeRefused> {
        let members = self.log.members();
        if *member == self.me {
            return Err(ChangeRefused::IsLeader);
        }
        if !members.contains(member) {
            let member = member.clone();
            return Err(ChangeRefused::NotMember { member });
        }
        let next = members.without(member);
        if next.voters.is_empty() {
            return Err(ChangeRefused::LastVoter);
        }
        Ok(next)
    }

    fn propose_members(&mut self, next: Membership) -> Proposal {
        let now = self.log.members();
        let joined = next.voters.difference(&now.voters).count();
        let left = now.voters.difference(&next.voters).count();
        assert!(joined + left <= 1, "voters change by one at a time");
        let proposal = self.append_own(Payload::Members(next));
        self.track_members();
        proposal
    }

    /// Whether a change waits to be committed, or the leader's term has not committed an entry
    /// yet. Two majorities two changes apart need not share a member; and a leader that does not
    /// know what its predecessor committed could begin a second change beside that one's.
    fn is_changing(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                self.log.members_index() > self.commit || self.commit < leader.first
            }
            _ => true,
        }
    }

    /// Takes the next step of a replacement, when the step before is committed.
    pub(super) fn drive_members(&mut self) {
        if !self.is_leader() || self.is_changing() {
            return;
        }
        let members = self.log.members();
        if let Some(old) = members.leaving.clone() {
            return self.remove_replaced(&old);
        }
        let ready = members.learners.keys().find(|m| self.has_caught_up(m));
        if let Some(learner) = ready {
            let next = members.promoted(learner);
            self.propose_members(next);
        }
    }

    fn remove_replaced(&mut self, old: &MemberId) {
        if *old != self.me {
            let next = self.log.members().without(old);
            self.propose_members(next);
            return;
        }
        let handing_over = matches!(&self.role, Role::Leader(l) if l.transfer.is_some());
        if !handing_over {
            // Without a successor the leader stays, and the next tick tries again.
            let now = self.now;
            let _ = self.transfer(now, None);
        }
    }

    /// Whether the learner has synced everything that is committed.
    fn has_caught_up(&self, learner: &MemberId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let matched = leader.progress.get(learner).map(|p| p.matched);
        matched.is_some_and(|matched| matched >= self.commit && matched > LogIndex(0))
    }
}
