//! Status of the member and reporting of changes.

use super::{Core, Role};
use crate::{Action, RoleKind, Status};

impl Core {
    /// The current status of the member.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            member: self.me.clone(),
            role: self.role_kind(),
            term: self.hard.term,
            leader: self.leader.clone(),
            last: self.log.last_index(),
            synced: self.log.synced(),
            commit: self.commit,
            applied: self.applied,
            snapshot: self.log.snapshot_index(),
            members: self.log.members().clone(),
            members_index: self.log.members_index(),
            log_bytes: self.log.log_bytes(),
            lease_until: self.lease_until(),
        }
    }

    /// Issues actions for changes of role and membership since the last call.
    pub(super) fn report_changes(&mut self) {
        let state = (self.role_kind(), self.hard.term, self.leader.clone());
        if state != self.reported {
            let (role, term, leader) = state.clone();
            self.out.push(Action::RoleChanged { role, term, leader });
            self.reported = state;
        }
        if self.log.members_index() != self.reported_members {
            let members = self.log.members().clone();
            self.out.push(Action::MembersChanged { members });
            self.reported_members = self.log.members_index();
        }
    }

    fn role_kind(&self) -> RoleKind {
        match self.role {
            Role::Follower => RoleKind::Follower,
            Role::PreCandidate { .. } => RoleKind::PreCandidate,
            Role::Candidate { .. } => RoleKind::Candidate,
            Role::Leader(_) => RoleKind::Leader,
        }
    }
}
