//! Elections: pre-vote, vote, and refusing candidates while the leader is live.

use std::collections::BTreeSet;
use std::mem;

use rand::Rng;

use super::{Core, Role};
use crate::{Action, Body, HardState, LogIndex, MemberId, Term};

impl Core {
    /// Schedules the next election one to two election timeouts from now. The random part guards
    /// against repeated split votes when members lose the leader at the same time.
    pub(super) fn reset_election(&mut self) {
        let timeout = self.cfg.election_timeout;
        let extra = timeout.mul_f64(self.rng.random_range(0.0..1.0));
        self.election_due = self.now + timeout + extra;
    }

    /// Whether this member leads or received from the leader within the election timeout. It then
    /// refuses other candidates, which the leader's lease relies on.
    pub(super) fn has_live_leader(&self) -> bool {
        let is_recent_contact = |contact| self.now < contact + self.cfg.election_timeout;
        self.is_leader() || self.leader_contact.is_some_and(is_recent_contact)
    }

    /// Becomes a follower in `term`, abandoning any candidacy or leadership.
    pub(super) fn follow(&mut self, term: Term, leader: Option<MemberId>) {
        assert!(term >= self.hard.term, "a member's term never decreases");
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.out.mark_hard_changed();
            self.term_leader = None;
        }
        self.leader = leader;
        let role = mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(leader) = role {
            for read in leader.reads {
                let hint = self.leader.clone();
                self.out.push(Action::ReadFailed { id: read.id, hint });
            }
            // A former leader waits as long as the other members before it starts an election.
            self.reset_election();
        }
    }

    pub(super) fn on_election_due(&mut self) {
        self.reset_election();
        self.leader = None;
        if !self.log.members().voters.contains(&self.me) {
            return;
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.me.clone()]),
        };
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for peer in self.other_voters() {
            let msg = self.message(&peer, body.clone());
            self.out.send(peer, msg);
        }
        self.count_pre_votes();
    }

    pub(super) fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.log.members().voters.iter();
        voters.filter(|m| **m != self.me).cloned().collect()
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: &MemberId,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let for_term = term.next();
        let granted = for_term > self.hard.term
            && !self.has_live_leader()
            && self.is_up_to_date(last_index, last_term);
        let msg = self.message(from, Body::PreVoteReply { for_term, granted });
        self.out.send(from.clone(), msg);
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: &MemberId, for_term: Term, granted: bool) {
        let next_term = self.hard.term.next();
        if let Role::PreCandidate { granted: votes } = &mut self.role
            && granted
            && for_term == next_term
        {
            votes.insert(from.clone());
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        if let Role::PreCandidate { granted } = &self.role
            && self.log.members().has_quorum(granted)
        {
            self.campaign(false);
        }
    }

    /// Starts an election. Vote requests are held until this member's own vote is synced, which
    /// guards against voting for another candidate in the same term after a crash.
    fn campaign(&mut self, transfer: bool) {
        self.follow(self.hard.term.next(), None);
        self.hard.vote = Some(self.me.clone());
        self.out.mark_hard_changed();
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
            own_vote: self.out.barrier(),
        };
        self.reset_election();
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        for peer in self.other_voters() {
            self.answer(&peer, body.clone());
        }
    }

    pub(super) fn on_vote(&mut self, from: &MemberId, last_index: LogIndex, last_term: Term) {
        let can_vote = match &self.hard.vote {
            None => self.term_leader.is_none(),
            Some(voted_for) => voted_for == from,
        };
        let granted = can_vote && self.is_up_to_date(last_index, last_term);
        if granted {
            self.hard.vote = Some(from.clone());
            self.out.mark_hard_changed();
            self.role = Role::Follower;
            self.reset_election();
        }
        self.answer(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: &MemberId, granted: bool) {
        if let Role::Candidate { granted: votes, .. } = &mut self.role
            && granted
        {
            votes.insert(from.clone());
            self.count_votes();
        }
    }

    pub(super) fn count_own_vote(&mut self) {
        if let Role::Candidate { granted, own_vote } = &mut self.role
            && self.out.is_synced(*own_vote)
        {
            granted.insert(self.me.clone());
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        if let Role::Candidate { granted, .. } = &self.role
            && self.log.members().has_quorum(granted)
        {
            self.become_leader();
        }
    }

    pub(super) fn on_timeout_now(&mut self) {
        let is_voter = self.log.members().voters.contains(&self.me);
        if is_voter && !self.is_leader() {
            self.campaign(true);
        }
    }
}
