//! Linearizable reads: confirmed by a round of heartbeats, or by the quorum lease.

use std::time::Duration;

use super::leader::PendingRead;
use super::{Core, Role};
use crate::{Action, MemberId, NotLeader, ReadId};

impl Core {
    /// Asks to read the state machine as it is now or later. [`Action::ReadReady`] says when that
    /// is safe, [`Action::ReadFailed`] that it is not.
    ///
    /// A member that was cut off still takes itself for the leader for a while, and would answer
    /// with a state that the majority has left behind. So the read waits until a majority has
    /// answered a heartbeat sent after the read began; or, with `lease_reads` of
    /// [`crate::CoreConfig`], while the lease holds in which no majority elects another leader.
    ///
    /// # Errors
    /// [`NotLeader`] with the leader where it is known.
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
        self.settle_reads();
        Ok(id)
    }

    /// Starts a round when a read waits for one that is not under way: all reads since the last
    /// call share it.
    pub(super) fn begin_round_for_reads(&mut self) {
        let wanted = match &self.role {
            Role::Leader(leader) => leader.reads.back().is_some_and(|r| r.round > leader.round),
            _ => false,
        };
        if wanted {
            self.begin_round();
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

    /// Forgets the rounds before the one that a majority has answered, and answers reads.
    pub(super) fn confirm_rounds(&mut self) {
        let confirmed = self.quorum_round();
        if let Role::Leader(leader) = &mut self.role {
            while leader
                .rounds
                .pop_front_if(|(r, _)| *r < confirmed)
                .is_some()
            {}
        }
        self.settle_reads();
    }

    /// Until when no majority elects another leader, on this member's clock. Counted from when
    /// the round began, which is before any follower heard it.
    pub(super) fn lease_until(&self) -> Option<Duration> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if leader.lease_void {
            return None;
        }
        let began = leader.confirmed_at(self.quorum_round())?;
        Some(began + self.cfg.lease())
    }

    /// Answers the reads that are confirmed and whose state is applied.
    pub(super) fn settle_reads(&mut self) {
        let confirmed = self.quorum_round();
        let lease_holds = self.cfg.lease_reads && self.lease_until().is_some_and(|t| self.now < t);
        let (commit, applied) = (self.commit, self.applied);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        // Before an entry of its own term is committed, the leader may not know of the last
        // entries that its predecessor committed.
        if commit < leader.first {
            return;
        }
        for read in &mut leader.reads {
            read.index.get_or_insert(commit);
        }
        let ready = |read: &mut PendingRead| {
            let sure = lease_holds || read.round <= confirmed;
            sure && read.index.is_some_and(|index| index <= applied)
        };
        while let Some(read) = leader.reads.pop_front_if(ready) {
            let index = applied;
            self.out.push(Action::ReadReady { id: read.id, index });
        }
    }
}
