//! Linearizable reads: confirmed by a round of heartbeats, or by the quorum lease.

use std::time::Duration;

use super::leader_state::PendingRead;
use super::{Core, Role};
use crate::{Action, MemberId, NotLeader, ReadId};

impl Core {
    /// Requests a linearizable read of the state machine. [`Action::ReadReady`] reports that the
    /// state may be read, [`Action::ReadFailed`] that leadership was lost.
    ///
    /// To guard against stale reads from a partitioned leader, a read completes only after a
    /// majority has answered a heartbeat sent after the read started. With `lease_reads` of
    /// [`crate::CoreConfig`], a valid lease is sufficient, since no other leader is elected during
    /// it.
    ///
    /// # Errors
    /// [`NotLeader`], with the leader if known.
    pub fn read(&mut self, now: Duration) -> Result<ReadId, NotLeader> {
        self.advance(now);
        let id = ReadId(self.next_read);
        let Role::Leader(leader) = &mut self.role else {
            return Err(self.not_leader());
        };
        self.next_read += 1;
        leader.reads.push_back(PendingRead {
            id,
            round: leader.round + 1,
            index: None,
        });
        self.complete_reads();
        Ok(id)
    }

    /// Starts a heartbeat round if a read waits for one. All reads since the last call share it.
    pub(super) fn start_round_for_reads(&mut self) {
        let needs_round = match &self.role {
            Role::Leader(leader) => leader.reads.back().is_some_and(|r| r.round > leader.round),
            _ => false,
        };
        if needs_round {
            self.start_round();
        }
    }

    fn quorum_round(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        let round_of = |m: &MemberId| match leader.progress.get(m) {
            Some(progress) => progress.round,
            None if *m == self.me => leader.round,
            None => 0,
        };
        let quorum = self.log.members().quorum_value(round_of);
        quorum.unwrap_or(0)
    }

    /// Removes the rounds before the last one that a majority has answered, and completes reads.
    pub(super) fn confirm_rounds(&mut self) {
        let confirmed = self.quorum_round();
        if let Role::Leader(leader) = &mut self.role {
            while leader
                .rounds
                .pop_front_if(|(r, _)| *r < confirmed)
                .is_some()
            {}
        }
        self.complete_reads();
    }

    /// End of the lease on this member's clock, during which no majority elects another leader.
    /// Counted from the start of the round, before any follower received the heartbeat.
    pub(super) fn lease_until(&self) -> Option<Duration> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if leader.lease_revoked {
            return None;
        }
        let started = leader.confirmed_at(self.quorum_round())?;
        Some(started + self.cfg.lease())
    }

    /// Completes the reads that are confirmed and whose state is applied.
    pub(super) fn complete_reads(&mut self) {
        let confirmed = self.quorum_round();
        let has_lease = self.cfg.lease_reads && self.lease_until().is_some_and(|t| self.now < t);
        let (commit, applied) = (self.commit, self.applied);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        // Until an entry of its term is committed, the leader may not know the commit index of the
        // previous leader.
        if commit < leader.term_start {
            return;
        }
        for read in &mut leader.reads {
            read.index.get_or_insert(commit);
        }
        let ready = |read: &mut PendingRead| {
            let is_confirmed = has_lease || read.round <= confirmed;
            is_confirmed && read.index.is_some_and(|index| index <= applied)
        };
        while let Some(read) = leader.reads.pop_front_if(ready) {
            let index = applied;
            self.out.push(Action::ReadReady { id: read.id, index });
        }
    }
}
