//! Leader duties: proposals, heartbeats, stepping down and leadership transfer.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::leader_state::{Leader, Transfer};
use super::{Core, Role};
use crate::progress::Progress;
use crate::{
    Body, Entry, LogIndex, MemberId, NotLeader, Payload, Proposal, ProposeRefused, TransferRefused,
};

impl Core {
    /// Appends a command to the log. The command has taken effect only once
    /// [`crate::Action::Apply`] is issued with the same index and term.
    ///
    /// # Errors
    /// [`ProposeRefused`]; a refused command was not appended.
    pub fn propose(
        &mut self,
        now: Duration,
        data: impl Into<Arc<[u8]>>,
    ) -> Result<Proposal, ProposeRefused> {
        self.advance(now);
        let data: Arc<[u8]> = data.into();
        let (len, limit) = (data.len(), self.cfg.max_command_bytes);
        let max_uncommitted = self.cfg.max_uncommitted_bytes;
        let Some(leader) = self.accepting_leader() else {
            let NotLeader { hint } = self.not_leader();
            return Err(ProposeRefused::NotLeader { hint });
        };
        if len > limit {
            return Err(ProposeRefused::TooLong { len, limit });
        }
        if leader.uncommitted + len > max_uncommitted {
            let waiting = leader.uncommitted;
            return Err(ProposeRefused::Busy { waiting });
        }
        Ok(self.append_as_leader(Payload::Data(data)))
    }

    /// The leader state, unless a leadership transfer is in progress.
    fn accepting_leader(&self) -> Option<&Leader> {
        match &self.role {
            Role::Leader(leader) if leader.transfer.is_none() => Some(leader),
            _ => None,
        }
    }

    /// The error for a member that does not lead or is transferring leadership.
    pub(super) fn not_leader(&self) -> NotLeader {
        let hint = match &self.role {
            Role::Leader(leader) => leader.transfer.as_ref().map(|t| t.to.clone()),
            _ => self.leader.clone(),
        };
        NotLeader { hint }
    }

    pub(super) fn append_as_leader(&mut self, payload: Payload) -> Proposal {
        let index = self.log.last_index().next();
        let term = self.hard.term;
        if let Role::Leader(leader) = &mut self.role {
            leader.uncommitted += payload.len();
        }
        self.append(Entry {
            index,
            term,
            payload,
        });
        Proposal { index, term }
    }

    pub(super) fn become_leader(&mut self) {
        assert_eq!(
            self.hard.vote.as_ref(),
            Some(&self.me),
            "a leader has voted for itself"
        );
        assert!(self.term_leader.is_none(), "at most one leader per term");
        self.term_leader = Some(self.me.clone());
        self.leader = Some(self.me.clone());
        let last_index = self.log.last_index();
        self.role = Role::Leader(Box::new(Leader {
            progress: BTreeMap::new(),
            term_start: last_index.next(),
            heartbeat_due: self.now,
            commit_at_heartbeats: [last_index.next(); 2],
            round: 0,
            rounds: VecDeque::new(),
            reads: VecDeque::new(),
            uncommitted: 0,
            transfer: None,
            lease_revoked: false,
        }));
        self.track_members();
        self.append_as_leader(Payload::Noop);
        self.start_round();
    }

    /// Maintains a [`Progress`] for every other member.
    pub(super) fn track_members(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let members = self.log.members();
        leader.progress.retain(|peer, _| members.contains(peer));
        for peer in members.all().filter(|m| **m != self.me) {
            let new_progress = || Progress::new(self.now, self.log.last_index());
            leader
                .progress
                .entry(peer.clone())
                .or_insert_with(new_progress);
        }
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_quorum_contact() {
            // Without contact to a majority, another leader may have been elected.
            let term = self.hard.term;
            return self.follow(term, None);
        }
        self.abort_expired_transfer();
        let is_due = matches!(&self.role, Role::Leader(l) if self.now >= l.heartbeat_due);
        if is_due {
            self.record_commit();
            self.start_round();
        }
        self.drive_members();
    }

    fn record_commit(&mut self) {
        let commit = self.commit;
        if let Role::Leader(leader) = &mut self.role {
            let [last, _] = leader.commit_at_heartbeats;
            leader.commit_at_heartbeats = [commit.max(last), last];
        }
    }

    fn has_quorum_contact(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let last_contact = |m: &MemberId| match leader.progress.get(m) {
            Some(progress) => progress.last_contact,
            None if *m == self.me => self.now,
            None => Duration::ZERO,
        };
        let quorum_contact = self.log.members().quorum_value(last_contact);
        quorum_contact.is_some_and(|at| self.now < at + self.cfg.election_timeout)
    }

    /// Transfers leadership to `to`, or to the voter with the longest matching log. Proposals are
    /// refused during the transfer; if it does not complete within an election timeout, this member
    /// continues to lead. Used before a planned stop, so that the group does not have to wait for
    /// an election timeout.
    ///
    /// # Errors
    /// [`TransferRefused`] if this member does not lead or no other voter can take over.
    pub fn transfer(
        &mut self,
        now: Duration,
        to: Option<&MemberId>,
    ) -> Result<(), TransferRefused> {
        self.advance(now);
        let Role::Leader(leader) = &self.role else {
            let NotLeader { hint } = self.not_leader();
            return Err(TransferRefused::NotLeader { hint });
        };
        let is_reachable = |p: &Progress| self.now < p.last_contact + self.cfg.election_timeout;
        let voters = &self.log.members().voters;
        let candidates = leader
            .progress
            .iter()
            .filter(|(m, p)| voters.contains(m) && is_reachable(p));
        let successor = candidates
            .filter(|(m, _)| to.is_none_or(|to| to == *m))
            .max_by_key(|(_, p)| p.matched)
            .map(|(m, _)| m.clone());
        let to = successor.ok_or(TransferRefused::NoSuccessor)?;
        self.start_transfer(to);
        Ok(())
    }

    fn start_transfer(&mut self, to: MemberId) {
        let deadline = self.now + self.cfg.election_timeout;
        if let Role::Leader(leader) = &mut self.role {
            leader.transfer = Some(Transfer {
                to,
                deadline,
                timeout_now_sent: false,
            });
        }
        self.drive_transfer();
    }

    /// Sends [`Body::TimeoutNow`] to the successor once its log is complete.
    pub(super) fn drive_transfer(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let matched = leader.progress.get(&transfer.to).map(|p| p.matched);
        if transfer.timeout_now_sent || matched != Some(last) {
            return;
        }
        transfer.timeout_now_sent = true;
        leader.lease_revoked = true;
        let to = transfer.to.clone();
        let msg = self.message(&to, Body::TimeoutNow);
        self.out.send(to, msg);
    }

    fn abort_expired_transfer(&mut self) {
        let now = self.now;
        if let Role::Leader(leader) = &mut self.role {
            leader.transfer.take_if(|t| now >= t.deadline);
        }
    }

    /// Advances the commit index to the last entry that a majority has synced.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let synced_of = |m: &MemberId| match leader.progress.get(m) {
            Some(progress) => progress.matched,
            None if *m == self.me => self.log.synced(),
            None => LogIndex(0),
        };
        let Some(quorum) = self.log.members().quorum_value(synced_of) else {
            return;
        };
        // An entry of an earlier term may be on a majority and still be replaced by another leader
        // (Raft paper, section 5.4.2), so only an entry of the current term is committed directly.
        let is_current_term = self.log.term_at(quorum) == Some(self.hard.term);
        if quorum <= self.commit || !is_current_term {
            return;
        }
        let before = self.commit;
        self.set_commit(quorum);
        self.release_uncommitted(before, quorum);
        self.apply_committed();
        self.drive_members();
        self.complete_reads();
    }

    fn release_uncommitted(&mut self, before: LogIndex, now: LogIndex) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let from = before.next().max(leader.term_start);
        for index in from.0..=now.0 {
            let len = self.log.get(LogIndex(index)).map_or(0, |e| e.payload.len());
            leader.uncommitted = leader.uncommitted.saturating_sub(len);
        }
    }
}
