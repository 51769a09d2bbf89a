//! Changes of members: one at a time, and a newcomer counts only once it has caught up.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Core, Role};
use crate::progress::Progress;
use crate::{
    ChangeRefused, MemberChange, MemberId, Membership, NotLeader, Payload, PeerStatus, Proposal,
};

impl Core {
    /// Begins a change of members. With [`CoreConfig::promote_learners`](crate::CoreConfig) adding goes
    /// on by itself: the newcomer is promoted when its synced log has caught up. The voter that a
    /// promoted member replaces is removed after that in any case.
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
            MemberChange::Promote { member, replaces } => self.with_promoted(member, replaces)?,
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
        let handing_over = matches!(&self.role, Role::Leader(l) if l.transfer.is_some());
        if !handing_over {
            // Without a successor the leader stays, and the next tick tries again.
            let now = self.now;
            let _ = self.transfer(now, None);
        }
    }

    /// Whether the member has synced everything that was committed a heartbeat ago, and an entry of this
    /// leader's term.
    fn has_caught_up(&self, member: &MemberId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let [_, settled] = leader.commit_at_heartbeats;
        let progress = leader.progress.get(member);
        progress.is_some_and(|p| p.matched >= settled)
    }

    /// What this member knows of the others while it leads; nothing otherwise.
    #[must_use]
    pub fn peers(&self) -> BTreeMap<MemberId, PeerStatus> {
        let Role::Leader(leader) = &self.role else {
            return BTreeMap::new();
        };
        let status = |(member, progress): (&MemberId, &Progress)| {
            let status = PeerStatus {
                silent_for: self.now.saturating_sub(progress.heard),
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
