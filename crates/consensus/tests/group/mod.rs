//! A small group on a fake network: messages are lost, doubled, delayed and reordered; links are
//! cut; members crash and lose what they had not synced; disks are lost and replaced.
#![allow(
    dead_code,
    reason = "every test file uses its own part of the fake group"
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
    /// Share of messages lost, in per cent; as many are doubled or come late.
    pub(crate) trouble: u32,
    cut: BTreeSet<(HostName, HostName)>,
    flying: BTreeMap<(u64, u64), (MemberId, Message)>,
    sent: u64,
    pub(crate) seen: Checks,
    /// Members keep real files as well, and compare them.
    with_files: bool,
    next_command: u64,
    /// A replacement under way: the newcomer and the member it replaces.
    pub(crate) repair: Option<(MemberId, MemberId)>,
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
            trouble: 0,
            cut: BTreeSet::new(),
            flying: BTreeMap::new(),
            sent: 0,
            seen: Checks::default(),
            with_files,
            next_command: 0,
            repair: None,
        };
        let members: Vec<_> = (0..hosts).map(|h| member(h, h as u128)).collect();
        for member in &members {
            group.join(member);
        }
        let node = group.nodes.get_mut(&members[0]).expect("it has joined");
        node.found(members);
        // A group whose founder is lost before anyone else heard of it has nothing to lose.
        while !group.agrees() {
            group.run(10);
        }
        group
    }

    /// Starts a member with an empty disk.
    pub(crate) fn join(&mut self, member: &MemberId) {
        let drift = u64::from(self.cfg.drift_per_mille);
        let rate = 1000 - drift + drift * self.rng.random_range(0..=2);
        let mut node = Node::new(member.clone(), rate, self.with_files);
        node.start(&self.cfg, self.now_ms, &mut self.rng);
        self.nodes.insert(member.clone(), node);
    }

    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.deliver();
            let members = self.members();
            for id in members {
                let node = self.nodes.get_mut(&id).expect("it is there");
                let actions = node.turn(self.now_ms, &mut self.rng);
                self.carry_out(&id, actions);
            }
            self.drive_repair();
        }
    }

    fn deliver(&mut self) {
        let later = self.flying.split_off(&(self.now_ms + 1, 0));
        for (from, msg) in std::mem::replace(&mut self.flying, later).into_values() {
            let now = self.now_ms;
            if let Some(node) = self.nodes.get_mut(&msg.to) {
                node.receive(now, &from, msg);
            }
        }
    }

    fn send(&mut self, from: &MemberId, msg: &Message) {
        if self.cut.contains(&(from.host.clone(), msg.to.host.clone())) || self.strikes() {
            return;
        }
        let copies = if self.strikes() { 2 } else { 1 };
        for _ in 0..copies {
            let late = if self.strikes() { 400 } else { 5 };
            let due = self.now_ms + self.rng.random_range(1..=late);
            self.sent += 1;
            let bytes = postcard::to_stdvec(msg).expect("it can be encoded");
            let copy = postcard::from_bytes(&bytes).expect("it can be decoded");
            self.flying.insert((due, self.sent), (from.clone(), copy));
        }
    }

    fn strikes(&mut self) -> bool {
        self.rng.random_range(0..100) < self.trouble
    }

    fn carry_out(&mut self, id: &MemberId, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send { msg, .. } = &action {
                self.send(id, msg);
            }
            self.seen.check(id, &action);
        }
    }

    /// Proposes at every member that takes itself for the leader.
    pub(crate) fn propose(&mut self) {
        for node in self.nodes.values_mut() {
            let command = self.next_command;
            self.next_command += 1;
            if let Some(place) = node.propose(self.now_ms, command) {
                self.seen.proposed.insert(place, command);
            }
        }
    }

    /// Reads at every member that takes itself for the leader.
    pub(crate) fn read(&mut self) {
        let acked = self.seen.acked.keys().last().copied().unwrap_or_default();
        for (id, node) in &mut self.nodes {
            if let Some(read) = node.read(self.now_ms) {
                self.seen.reads.insert((id.clone(), read), acked);
            }
        }
    }

    /// How many reads wait at this member.
    pub(crate) fn reads_waiting(&self, id: &MemberId) -> usize {
        self.seen.reads.keys().filter(|(at, _)| at == id).count()
    }

    /// The member that leads in the highest term.
    pub(crate) fn leader(&self) -> Option<MemberId> {
        let leads = self.nodes.values().filter(|n| n.leads());
        leads.max_by_key(|n| n.term()).map(|n| n.id.clone())
    }

    pub(crate) fn node(&mut self, id: &MemberId) -> &mut Node {
        self.nodes.get_mut(id).expect("it is there")
    }

    /// The member of a host that joined last.
    pub(crate) fn of_host(&self, host: usize) -> MemberId {
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
        self.nodes.get_mut(id).expect("it is there").crash(rng);
        self.seen.reads.retain(|(at, _), _| at != id);
    }

    fn members(&self) -> Vec<MemberId> {
        self.nodes.keys().cloned().collect()
    }

    pub(crate) fn crash_all(&mut self) {
        let members = self.members();
        members.iter().for_each(|id| self.crash(id));
    }

    pub(crate) fn restart(&mut self, id: &MemberId) {
        let node = self.nodes.get_mut(id).expect("it is there");
        node.start(&self.cfg, self.now_ms, &mut self.rng);
    }

    pub(crate) fn restart_all(&mut self) {
        let members = self.members();
        members.iter().for_each(|id| self.restart(id));
    }

    /// Loses the disk of a member for good and starts its host with an empty one.
    pub(crate) fn replace(&mut self, old: &MemberId, disk: u128) -> MemberId {
        self.crash(old);
        self.nodes.remove(old);
        let new = MemberId {
            host: old.host.clone(),
            disk: DiskId(disk),
        };
        self.join(&new);
        self.repair = Some((new.clone(), old.clone()));
        new
    }

    /// Asks the leader for the replacement until it is done.
    fn drive_repair(&mut self) {
        let Some((new, old)) = self.repair.clone() else {
            return;
        };
        let now = self.now_ms;
        for node in self.nodes.values_mut().filter(|n| n.leads()) {
            if node.has_members_without(&old) {
                self.repair = None;
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

    /// Ends all trouble, and checks that the group agrees and has everything acknowledged.
    pub(crate) fn settle(&mut self) {
        self.trouble = 0;
        self.heal();
        self.restart_all();
        const PATIENCE_MS: u64 = 20_000;
        let until = self.now_ms + PATIENCE_MS;
        loop {
            self.propose();
            self.run(100);
            if self.repair.is_none() && self.agrees() {
                break;
            }
            assert!(self.now_ms < until, "the group goes on once trouble ends");
        }
        for node in self.nodes.values() {
            for (index, command) in &self.seen.acked {
                let held = node.state.get(index);
                assert_eq!(held, Some(command), "{} lost {index}", node.id);
            }
        }
    }

    fn agrees(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let status = self.nodes[&leader].status();
        let all = self.nodes.values().all(|n| n.applied() == status.last);
        status.last > LogIndex(1) && all
    }
}
