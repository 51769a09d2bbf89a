//! What the leader does: taking proposals, heartbeats, stepping down, handing over.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::leader::{Leader, Transfer};
use super::{Core, Role};
use crate::progress::Progress;
use crate::{
    Body, Entry, LogIndex, MemberId, NotLeader, Payload, Proposal, ProposeRefused, TransferRefused,
};

impl Core {
    /// Takes a command into the log. It counts only once it comes back as [`crate::Action::Apply`]
    /// with the same index and term.
    ///
    /// # Errors
    /// [`ProposeRefused`]; a refused command is in no log.
    pub fn propose(
        &mut self,
        now: Duration,
        data: impl Into<Arc<[u8]>>,
    ) -> Result<Proposal, ProposeRefused> {
        self.advance(now);
        let data: Arc<[u8]> = data.into();
        let (len, limit) = (data.len(), self.cfg.max_command_bytes);
        let most = self.cfg.max_uncommitted_bytes;
        let Some(leader) = self.accepting_leader() else {
            let NotLeader { hint } = self.not_leader();
            return Err(ProposeRefused::NotLeader { hint });
        };
        if len > limit {
            return Err(ProposeRefused::TooLong { len, limit });
        }
        if leader.uncommitted + len > most {
            let waiting = leader.uncommitted;
            return Err(ProposeRefused::Busy { waiting });
        }
        Ok(self.append_own(Payload::Data(data)))
    }

    /// The leader's part, unless it is handing over.
    fn accepting_leader(&self) -> Option<&Leader> {
        match &self.role {
            Role::Leader(leader) if leader.transfer.is_none() => Some(leader),
            _ => None,
        }
    }

    /// The error of a member that does not lead, or no longer.
    pub(super) fn not_leader(&self) -> NotLeader {
        let hint = match &self.role {
            Role::Leader(leader) => leader.transfer.as_ref().map(|t| t.to.clone()),
            _ => self.leader.clone(),
        };
        NotLeader { hint }
    }

    pub(super) fn append_own(&mut self, payload: Payload) -> Proposal {
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
            "a leader voted for itself"
        );
        assert!(self.term_leader.is_none(), "one leader a term");
        self.term_leader = Some(self.me.clone());
        self.leader = Some(self.me.clone());
        let last = self.log.last_index();
        self.role = Role::Leader(Box::new(Leader {
            progress: BTreeMap::new(),
            first: last.next(),
            heartbeat_due: self.now,
            commit_at_heartbeats: [last.next(); 2],
            round: 0,
            rounds: VecDeque::new(),
            reads: VecDeque::new(),
            uncommitted: 0,
            transfer: None,
            lease_void: false,
        }));
        self.track_members();
        self.append_own(Payload::Noop);
        self.begin_round();
    }

    /// Keeps one [`Progress`] for every other member.
    pub(super) fn track_members(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let members = self.log.members();
        leader.progress.retain(|peer, _| members.contains(peer));
        for peer in members.all().filter(|m| **m != self.me) {
            let fresh = || Progress::new(self.now, self.log.last_index());
            leader.progress.entry(peer.clone()).or_insert_with(fresh);
        }
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_heard_quorum() {
            // Cut off from the majority, which may have another leader by now.
            let term = self.hard.term;
            return self.follow(term, None);
        }
        self.end_transfer_when_late();
        let due = matches!(&self.role, Role::Leader(l) if self.now >= l.heartbeat_due);
        if due {
            self.note_commit();
            self.begin_round();
        }
        self.drive_members();
    }

    fn note_commit(&mut self) {
        let commit = self.commit;
        if let Role::Leader(leader) = &mut self.role {
            let [last, _] = leader.commit_at_heartbeats;
            leader.commit_at_heartbeats = [commit.max(last), last];
        }
    }

    fn has_heard_quorum(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let heard_at = |m: &MemberId| match leader.progress.get(m) {
            Some(progress) => progress.heard,
            None if *m == self.me => self.now,
            None => Duration::ZERO,
        };
        let quorum_heard = self.log.members().quorum_value(heard_at);
        quorum_heard.is_some_and(|at| self.now < at + self.cfg.election_timeout)
    }

    /// Hands the leadership over, to `to` or to the voter that is furthest ahead. Proposals are
    /// refused meanwhile; if the other does not take over within an election timeout, this member
    /// goes on leading. For a planned stop: the group then needs no election timeout to go on.
    ///
    /// # Errors
    /// [`TransferRefused`] when this member does not lead, or no other voter can take over.
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
        let heard = |p: &Progress| self.now < p.heard + self.cfg.election_timeout;
        let voters = &self.log.members().voters;
        let able = leader
            .progress
            .iter()
            .filter(|(m, p)| voters.contains(m) && heard(p));
        let chosen = able
            .filter(|(m, _)| to.is_none_or(|to| to == *m))
            .max_by_key(|(_, p)| p.matched)
            .map(|(m, _)| m.clone());
        let to = chosen.ok_or(TransferRefused::NoSuccessor)?;
        self.begin_transfer(to);
        Ok(())
    }

    fn begin_transfer(&mut self, to: MemberId) {
        let deadline = self.now + self.cfg.election_timeout;
        if let Role::Leader(leader) = &mut self.role {
            leader.transfer = Some(Transfer {
                to,
                deadline,
                asked: false,
            });
        }
        self.drive_transfer();
    }

    /// Asks the successor to take over once it has every entry.
    pub(super) fn drive_transfer(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let matched = leader.progress.get(&transfer.to).map(|p| p.matched);
        if transfer.asked || matched != Some(last) {
            return;
        }
        transfer.asked = true;
        leader.lease_void = true;
        let to = transfer.to.clone();
        let msg = self.message(&to, Body::TimeoutNow);
        self.out.send(to, msg);
    }

    fn end_transfer_when_late(&mut self) {
        let now = self.now;
        if let Role::Leader(leader) = &mut self.role {
            leader.transfer.take_if(|t| now >= t.deadline);
        }
    }

    /// Raises the commit index to what a majority has synced.
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
        // An entry of an earlier term can be on a majority and still be replaced by a leader that
        // never saw it; one of the own term on a majority rules such a leader out.
        let own_term = self.log.term_at(quorum) == Some(self.hard.term);
        if quorum <= self.commit || !own_term {
            return;
        }
        let before = self.commit;
        self.set_commit(quorum);
        self.release_uncommitted(before, quorum);
        self.apply_committed();
        self.drive_members();
        self.settle_reads();
    }

    fn release_uncommitted(&mut self, before: LogIndex, now: LogIndex) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let from = before.next().max(leader.first);
        for index in from.0..=now.0 {
            let len = self.log.get(LogIndex(index)).map_or(0, |e| e.payload.len());
            leader.uncommitted = leader.uncommitted.saturating_sub(len);
        }
    }
}
