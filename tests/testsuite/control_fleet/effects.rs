//! Handles the actions of a simulated control host's consensus core.

use coltsfootnotch_consensus::{Action, LogIndex, MemberId, Membership, Persist, RoleKind, Term};
use rand::Rng;

use super::{Fleet, Packet, SYNC_MS, ms};

impl Fleet {
    pub(super) fn carry_out(&mut self, index: usize, action: Action) {
        let now = ms(self.now_ms);
        match action {
            Action::Send { to, msg } => {
                let from = self.hosts[index].member().clone();
                let to = self.hosts.iter().position(|h| *h.member() == to);
                let is_up = |to: &usize| self.links.is_up(self.endpoint(index), self.endpoint(*to));
                if let Some(to) = to.filter(is_up) {
                    self.send(to, Packet::Log { from, msg });
                }
            }
            Action::Persist(persist) => self.persist(index, persist),
            Action::Apply {
                index: at,
                term,
                data,
            } => self.apply(index, at, term, data.as_deref()),
            Action::TakeSnapshot { index: at } => {
                if let Some(process) = &mut self.hosts[index].process {
                    let data = postcard::to_stdvec(&process.applied).expect("it can be encoded");
                    process.core.snapshot_taken(now, at, data);
                }
            }
            Action::InstallSnapshot(snapshot) => {
                if let Some(process) = &mut self.hosts[index].process {
                    process.last_applied = snapshot.meta.index;
                    let state = postcard::from_bytes(&snapshot.data);
                    process.applied = state.expect("it can be decoded");
                }
            }
            Action::MembersChanged { members } => self.record_members(index, &members),
            Action::RoleChanged {
                role: RoleKind::Leader,
                term,
                ..
            } => self.record(format!("{index} leads in term {term}")),
            _ => {}
        }
    }

    fn record_members(&mut self, index: usize, members: &Membership) {
        let place = |member: &MemberId| self.hosts.iter().position(|h| h.member() == member);
        let places = |members: &mut dyn Iterator<Item = &MemberId>| -> String {
            let places = members.map(|m| place(m).map_or("lost".to_owned(), |p| p.to_string()));
            places.collect::<Vec<_>>().join(" ")
        };
        let voters = places(&mut members.voters.iter());
        let learners = places(&mut members.learners.keys());
        let leads = self.leader() == Some(index);
        if leads {
            self.record(format!("voters {voters}; learners {learners}"));
        }
    }

    fn persist(&mut self, index: usize, persist: Persist) {
        let due_ms = self.now_ms + self.rng.random_range(1..=SYNC_MS);
        let host = &mut self.hosts[index];
        assert!(host.has_log, "a host without a disk persists nothing");
        host.disk.persist(due_ms, persist);
        let process = host.process.as_mut().expect("it runs");
        if std::mem::replace(&mut process.empty, false) {
            self.send_hello(index);
        }
    }

    fn apply(&mut self, index: usize, at: LogIndex, term: Term, data: Option<&[u8]>) {
        let process = self.hosts[index].process.as_mut().expect("it runs");
        assert_eq!(
            at,
            process.last_applied.next(),
            "entries are applied without gaps"
        );
        process.last_applied = at;
        let Some(data) = data else {
            return;
        };
        let number = u64::from_le_bytes(data.try_into().expect("eight bytes"));
        process.applied.insert(at, number);
        let ours = self.proposed.remove(&(index, at));
        if ours == Some((term, number)) {
            self.acknowledged = self.acknowledged.max(number);
        }
    }
}
