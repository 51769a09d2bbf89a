//! A small group on a fake network: messages are lost, duplicated, delayed and reordered; links are
//! cut; members crash and lose unsynced data; disks are lost and replaced.
#![allow(
    dead_code,
    reason = "each test file uses only a part of the fake group"
)]

mod checks;
mod files;
mod node;
mod setup;

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_consensus::{
    Action, CoreConfig, DiskId, LogIndex, MemberChange, MemberId, Message,
};
use coltsfootnotch_types::HostName;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) use checks::Checks;
pub(crate) use node::Node;
pub(crate) use setup::{member, small_limits};

pub(crate) struct Group {
    pub(crate) cfg: CoreConfig,
    pub(crate) rng: StdRng,
    pub(crate) now_ms: u64,
    pub(crate) nodes: BTreeMap<MemberId, Node>,
    /// Percentage of messages lost; as many are duplicated and as many are delayed.
    pub(crate) fault_percent: u32,
    cut: BTreeSet<(HostName, HostName)>,
    in_flight: BTreeMap<(u64, u64), (MemberId, Message)>,
    sent: u64,
    pub(crate) checks: Checks,
    /// Whether members also write real files, which are compared after a restart.
    with_files: bool,
    next_command: u64,
    /// A replacement in progress: the new member and the member it replaces.
    pub(crate) replacement: Option<(MemberId, MemberId)>,
}

impl Group {
    pub(crate) fn new(cfg: CoreConfig, hosts: usize, seed: u64) -> Self {
        Self::start(cfg, hosts, seed, false)
    }

    pub(crate) fn start(cfg: CoreConfig, hosts: usize, seed: u64, with_files: bool) -> Self {
        let mut group = Self {
            cfg,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            nodes: BTreeMap::new(),
            fault_percent: 0,
            cut: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            checks: Checks::default(),
            with_files,
            next_command: 0,
            replacement: None,
        };
        let members: Vec<_> = (0..hosts).map(|h| member(h, h as u128)).collect();
        for member in &members {
            group.add_member(member);
        }
        let node = group
            .nodes
            .get_mut(&members[0])
            .expect("the member was added");
        node.bootstrap(members);
        // Until the first entry is replicated, losing the bootstrap member loses the group.
        while !group.has_converged() {
            group.run(10);
        }
        group
    }

    /// Starts a member with an empty disk.
    pub(crate) fn add_member(&mut self, member: &MemberId) {
        let drift = u64::from(self.cfg.drift_per_mille);
        let clock_rate = 1000 - drift + drift * self.rng.random_range(0..=2);
        let mut node = Node::new(member.clone(), clock_rate, self.with_files);
        node.start(&self.cfg, self.now_ms, &mut self.rng);
        self.nodes.insert(member.clone(), node);
    }

    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.deliver();
            let members = self.members();
            for id in members {
                let node = self.nodes.get_mut(&id).expect("the member exists");
                let actions = node.step(self.now_ms, &mut self.rng);
                self.process_actions(&id, actions);
            }
            self.drive_replacement();
        }
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now_ms + 1, 0));
        for (from, msg) in std::mem::replace(&mut self.in_flight, later).into_values() {
            let now = self.now_ms;
            if let Some(node) = self.nodes.get_mut(&msg.to) {
                node.receive(now, &from, msg);
            }
        }
    }

    fn send(&mut self, from: &MemberId, msg: &Message) {
        if self.cut.contains(&(from.host.clone(), msg.to.host.clone())) || self.should_fault() {
            return;
        }
        let copies = if self.should_fault() { 2 } else { 1 };
        for _ in 0..copies {
            let max_delay = if self.should_fault() { 400 } else { 5 };
            let due = self.now_ms + self.rng.random_range(1..=max_delay);
            self.sent += 1;
            let bytes = postcard::to_stdvec(msg).expect("the message can be encoded");
            let copy = postcard::from_bytes(&bytes).expect("the message can be decoded");
            self.in_flight
                .insert((due, self.sent), (from.clone(), copy));
        }
    }

    fn should_fault(&mut self) -> bool {
        self.rng.random_range(0..100) < self.fault_percent
    }

    fn process_actions(&mut self, id: &MemberId, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send { msg, .. } = &action {
                self.send(id, msg);
            }
            self.checks.check(id, &action);
        }
    }

    /// Proposes at every member that believes that it leads.
    pub(crate) fn propose(&mut self) {
        for node in self.nodes.values_mut() {
            let command = self.next_command;
            self.next_command += 1;
            if let Some(position) = node.propose(self.now_ms, command) {
                self.checks.proposed.insert(position, command);
            }
        }
    }

    /// Reads at every member that believes that it leads.
    pub(crate) fn read(&mut self) {
        let acked = self.checks.acked.keys().last().copied().unwrap_or_default();
        for (id, node) in &mut self.nodes {
            if let Some(read) = node.read(self.now_ms) {
                self.checks.reads.insert((id.clone(), read), acked);
            }
        }
    }

    /// Number of pending reads at this member.
    pub(crate) fn pending_reads(&self, id: &MemberId) -> usize {
        self.checks.reads.keys().filter(|(at, _)| at == id).count()
    }

    /// The leader with the highest term.
    pub(crate) fn leader(&self) -> Option<MemberId> {
        let leaders = self.nodes.values().filter(|n| n.is_leader());
        leaders.max_by_key(|n| n.term()).map(|n| n.id.clone())
    }

    pub(crate) fn node(&mut self, id: &MemberId) -> &mut Node {
        self.nodes.get_mut(id).expect("the member exists")
    }

    /// The member that was added last on a host.
    pub(crate) fn latest_member_on(&self, host: usize) -> MemberId {
        let name = member(host, 0).host;
        let mut of_host = self.nodes.keys().filter(|m| m.host == name);
        of_host.next_back().expect("the host has a member").clone()
    }

    pub(crate) fn cut(&mut self, from: &MemberId, to: &MemberId) {
        self.cut.insert((from.host.clone(), to.host.clone()));
    }

    pub(crate) fn isolate(&mut self, id: &MemberId) {
        for other in self.members().iter().filter(|m| *m != id) {
            self.cut(id, other);
            self.cut(other, id);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cut.clear();
    }

    pub(crate) fn crash(&mut self, id: &MemberId) {
        let rng = &mut self.rng;
        self.nodes
            .get_mut(id)
            .expect("the member exists")
            .crash(rng);
        self.checks.reads.retain(|(at, _), _| at != id);
    }

    fn members(&self) -> Vec<MemberId> {
        self.nodes.keys().cloned().collect()
    }

    pub(crate) fn crash_all(&mut self) {
        let members = self.members();
        members.iter().for_each(|id| self.crash(id));
    }

    pub(crate) fn restart(&mut self, id: &MemberId) {
        let node = self.nodes.get_mut(id).expect("the member exists");
        node.start(&self.cfg, self.now_ms, &mut self.rng);
    }

    pub(crate) fn restart_all(&mut self) {
        let members = self.members();
        members.iter().for_each(|id| self.restart(id));
    }

    /// Removes the disk of a member permanently and starts its host with an empty one.
    pub(crate) fn replace(&mut self, old: &MemberId, disk: u128) -> MemberId {
        self.crash(old);
        self.nodes.remove(old);
        let new = MemberId {
            host: old.host.clone(),
            disk: DiskId(disk),
        };
        self.add_member(&new);
        self.replacement = Some((new.clone(), old.clone()));
        new
    }

    /// Requests the replacement from the leader until it is complete.
    fn drive_replacement(&mut self) {
        let Some((new, old)) = self.replacement.clone() else {
            return;
        };
        let now = self.now_ms;
        for node in self.nodes.values_mut().filter(|n| n.is_leader()) {
            if node.has_committed_removal_of(&old) {
                self.replacement = None;
                return;
            }
            node.change(
                now,
                &MemberChange::Add {
                    member: new.clone(),
                    replaces: Some(old.clone()),
                },
            );
        }
    }

    /// Stops all faults, and checks that the group converges with everything acknowledged.
    pub(crate) fn assert_converges(&mut self) {
        self.fault_percent = 0;
        self.heal();
        self.restart_all();
        const TIMEOUT_MS: u64 = 20_000;
        let deadline = self.now_ms + TIMEOUT_MS;
        loop {
            self.propose();
            self.run(100);
            if self.replacement.is_none() && self.has_converged() {
                break;
            }
            assert!(
                self.now_ms < deadline,
                "the group converges once the faults stop"
            );
        }
        for node in self.nodes.values() {
            for (index, command) in &self.checks.acked {
                let command_at_index = node.state.get(index);
                assert_eq!(command_at_index, Some(command), "{} lacks {index}", node.id);
            }
        }
    }

    fn has_converged(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let status = self.nodes[&leader].status();
        let all = self.nodes.values().all(|n| n.applied() == status.last);
        status.last > LogIndex(1) && all
    }
}
