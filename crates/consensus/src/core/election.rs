//! Elections: pre-vote, vote, and the refusal to disturb a leader that is heard.

use std::collections::BTreeSet;
use std::mem;

use rand::Rng;

use super::{Core, Role};
use crate::{Action, Body, HardState, LogIndex, MemberId, Term};

impl Core {
    /// Sets the next election to one to two election timeouts from now, at random: members that
    /// lost the leader together would otherwise split the vote again and again.
    pub(super) fn reset_election(&mut self) {
        let timeout = self.cfg.election_timeout;
        let extra = timeout.mul_f64(self.rng.random_range(0.0..1.0));
        self.election_due = self.now + timeout + extra;
    }

    /// Whether the member refuses other candidates, because it leads or has heard the leader
    /// within the election timeout. The leader's lease rests on this refusal.
    pub(super) fn is_sticky(&self) -> bool {
        let heard_lately = |heard| self.now < heard + self.cfg.election_timeout;
        self.is_leader() || self.heard.is_some_and(heard_lately)
    }

    /// Becomes a follower of `term`, leaving behind whatever the member was doing.
    pub(super) fn follow(&mut self, term: Term, leader: Option<MemberId>) {
        assert!(term >= self.hard.term, "a member's term never falls");
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.out.hard_changed();
            self.term_leader = None;
        }
        self.leader = leader;
        let role = mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(led) = role {
            for read in led.reads {
                let hint = self.leader.clone();
                self.out.push(Action::ReadFailed { id: read.id, hint });
            }
            // A leader that steps down waits as long as the others before it tries again.
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
            && !self.is_sticky()
            && self.is_up_to_date(last_index, last_term);
        let msg = self.message(from, Body::PreVoteReply { for_term, granted });
        self.out.send(from.clone(), msg);
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: &MemberId, for_term: Term, granted: bool) {
        let wanted = self.hard.term.next();
        if let Role::PreCandidate { granted: got } = &mut self.role
            && granted
            && for_term == wanted
        {
            got.insert(from.clone());
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

    /// Starts an election. The requests wait until the own vote is synced: after a crash the
    /// member could otherwise vote for another in a term that it had won.
    fn campaign(&mut self, transfer: bool) {
        self.follow(self.hard.term.next(), None);
        self.hard.vote = Some(self.me.clone());
        self.out.hard_changed();
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
        let free = match &self.hard.vote {
            None => self.term_leader.is_none(),
            Some(voted) => voted == from,
        };
        let granted = free && self.is_up_to_date(last_index, last_term);
        if granted {
            self.hard.vote = Some(from.clone());
            self.out.hard_changed();
            self.role = Role::Follower;
            self.reset_election();
        }
        self.answer(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: &MemberId, granted: bool) {
        if let Role::Candidate { granted: got, .. } = &mut self.role
            && granted
        {
            got.insert(from.clone());
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
        let voter = self.log.members().voters.contains(&self.me);
        if voter && !self.is_leader() {
            self.campaign(true);
        }
    }
}
