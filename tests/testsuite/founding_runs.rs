//! Whole fleets of control hosts that find each other, started in virtual time.
//!
//! A fleet whose group is never founded accepts no configuration and serves nobody, and looks like one
//! that waits. So fleets of random names, addresses, sizes and orders of start are played, and each has
//! to accept a configuration soon after its last host is up.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch::daemon::control::seeded::founding::{SeededFounding, Seen};
use coltsfootnotch::daemon::control::seeded::members::{Away, next_change};
use coltsfootnotch::daemon::control::seeded::{Finding, SeededHello, Seeds};
use coltsfootnotch_consensus::{
    Action, Core, CoreConfig, DiskId, LogIndex, MemberId, Message, PersistSeq, Recovered,
};
use coltsfootnotch_types::HostName;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Fleets played.
const FLEETS: u64 = 300;
/// Between two rounds of upkeep, as in the daemon.
const UPKEEP_MS: u64 = 50;
/// Time after the last start within which a configuration has to be accepted: the least that an operator
/// waits for an acknowledgement.
const ACCEPTED_WITHIN_MS: u64 = 4_000;

/// What is under way between two hosts.
enum Packet {
    /// A connection is made; either side says who it is.
    Hello {
        member: MemberId,
        empty: bool,
        hello: SeededHello,
    },
    Log {
        from: MemberId,
        msg: Message,
    },
}

struct Host {
    member: MemberId,
    address: SocketAddr,
    starts_ms: u64,
    keeps_log: bool,
    finding: Finding,
    founding: SeededFounding,
    core: Core,
    empty: bool,
    away: Away,
    /// What the others said of themselves besides their hello.
    heard: BTreeMap<HostName, (MemberId, bool)>,
    syncs: Vec<(u64, PersistSeq)>,
    accepted: bool,
}

struct Fleet {
    now_ms: u64,
    rng: StdRng,
    hosts: Vec<Host>,
    connected: BTreeSet<(usize, usize)>,
    /// By due time, receiver and number of sending.
    packets: BTreeMap<(u64, u64), (usize, Packet)>,
    sent: u64,
    proposed: BTreeSet<LogIndex>,
    groups_founded: usize,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Fleet {
    fn random(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let keepers = rng.random_range(1..=7);
        let without_disk = rng.random_range(0..=4);
        let count = keepers + without_disk;
        let mut numbers: Vec<u8> = (1..=count).collect();
        numbers.shuffle(&mut rng);
        let mut names: Vec<u16> = (0..100).collect();
        names.shuffle(&mut rng);
        let address = |n: u8| SocketAddr::from(([10, n % 3, 0, n], 7400));
        // The first seed has a disk: without any there is nothing to found a group on.
        let mut others: Vec<u8> = numbers[1..].to_vec();
        others.shuffle(&mut rng);
        let seeds = [numbers[0]].into_iter().chain(others).take(3);
        let seeds = Seeds {
            addresses: seeds.map(address).collect(),
            first_start: true,
        };
        let hosts = numbers.iter().enumerate().map(|(place, number)| {
            let member = MemberId {
                host: HostName::new(format!("h{}", names[place])).unwrap(),
                disk: DiskId(rng.random()),
            };
            let own = address(*number);
            let keeps_log = place < usize::from(keepers);
            Host {
                address: own,
                starts_ms: rng.random_range(0..300),
                keeps_log,
                finding: Finding::new(own, keeps_log, &seeds),
                founding: SeededFounding::default(),
                core: Core::new(
                    CoreConfig::default(),
                    Recovered::empty(member.clone()),
                    Duration::ZERO,
                    &mut rng,
                ),
                member,
                empty: true,
                away: Away::default(),
                heard: BTreeMap::new(),
                syncs: Vec::new(),
                accepted: false,
            }
        });
        let hosts = hosts.collect();
        Self {
            now_ms: 0,
            rng,
            hosts,
            connected: BTreeSet::new(),
            packets: BTreeMap::new(),
            sent: 0,
            proposed: BTreeSet::new(),
            groups_founded: 0,
        }
    }

    /// Runs until a host has a proposed configuration committed; when that was.
    fn run_until_accepted(&mut self) -> Option<u64> {
        let last_start = self.hosts.iter().map(|h| h.starts_ms).max()?;
        while self.now_ms < last_start + ACCEPTED_WITHIN_MS {
            self.step();
            if self.hosts.iter().any(|h| h.accepted) {
                return Some(self.now_ms);
            }
        }
        None
    }

    fn step(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.packets.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (to, packet) = entry.remove();
            self.deliver(to, packet);
        }
        for index in 0..self.hosts.len() {
            if self.now_ms < self.hosts[index].starts_ms {
                continue;
            }
            if (self.now_ms + index as u64).is_multiple_of(UPKEEP_MS) {
                self.upkeep(index);
            }
            self.drive(index);
        }
    }

    fn deliver(&mut self, to: usize, packet: Packet) {
        let now = ms(self.now_ms);
        let host = &mut self.hosts[to];
        match packet {
            Packet::Hello {
                member,
                empty,
                hello,
            } => {
                let is_new = host.finding.hear(now, &member.host.clone(), hello);
                host.heard.insert(member.host.clone(), (member, empty));
                if is_new {
                    self.say_hello(to);
                }
            }
            Packet::Log { from, msg } => host.core.step(now, &from, msg),
        }
    }

    fn say_hello(&mut self, from: usize) {
        for to in 0..self.hosts.len() {
            if self.connected.contains(&pair(from, to)) {
                let host = &self.hosts[from];
                let hello = Packet::Hello {
                    member: host.member.clone(),
                    empty: host.empty,
                    hello: host.finding.hello(),
                };
                self.send(to, hello);
            }
        }
    }

    fn send(&mut self, to: usize, packet: Packet) {
        self.sent += 1;
        let due = self.now_ms + self.rng.random_range(1..=8);
        self.packets.insert((due, self.sent), (to, packet));
    }

    fn upkeep(&mut self, index: usize) {
        let now = ms(self.now_ms);
        for address in self.hosts[index].finding.wanted(now) {
            let other = self.hosts.iter().position(|h| h.address == address);
            let other = other.expect("every address is a host's");
            let is_up = self.now_ms >= self.hosts[other].starts_ms;
            if is_up && self.connected.insert(pair(index, other)) {
                self.say_hello(index);
                self.say_hello(other);
            }
        }
        self.found(index);
        self.change_members(index);
        let host = &mut self.hosts[index];
        if host.core.is_leader() {
            let placed = host
                .core
                .propose(now, *b"a configuration")
                .expect("it leads");
            self.proposed.insert(placed.index);
        }
    }

    fn found(&mut self, index: usize) {
        let now = ms(self.now_ms);
        let host = &mut self.hosts[index];
        if !host.empty {
            return;
        }
        let own_hello = host.finding.hello();
        let own = Seen {
            member: &host.member,
            empty: true,
            hello: &own_hello,
        };
        let others = host.finding.connected().filter_map(|(name, hello)| {
            let (member, empty) = host.heard.get(name)?;
            Some(Seen {
                member,
                empty: *empty,
                hello,
            })
        });
        let Ok(members) = host.founding.due(now, own, others) else {
            return;
        };
        assert!(host.keeps_log, "a host without a disk can't found a group");
        host.core
            .found(now, members.voters)
            .expect("the log takes the same host for the founder");
        self.groups_founded += 1;
    }

    fn change_members(&mut self, index: usize) {
        let now = ms(self.now_ms);
        let host = &mut self.hosts[index];
        if !host.core.is_leader() {
            return;
        }
        let members = host.core.status().members;
        let keepers = host.finding.connected().filter(|(_, h)| h.keeps_log);
        let others = keepers.filter_map(|(name, _)| Some(host.heard.get(name)?.0.clone()));
        let connected: BTreeSet<_> = others.chain([host.member.clone()]).collect();
        host.away.note(now, &members, &connected);
        if let Some(change) = next_change(now, &members, &connected, &host.away) {
            // Refused while an earlier change is under way; the next round tries again.
            let _refused = host.core.change_members(now, &change);
        }
    }

    fn drive(&mut self, index: usize) {
        let now = ms(self.now_ms);
        let host = &mut self.hosts[index];
        while let Some((due, seq)) = host.syncs.first().copied() {
            if due > self.now_ms {
                break;
            }
            host.syncs.remove(0);
            host.core.synced(now, seq);
        }
        if now >= host.core.next_due() {
            host.core.tick(now);
        }
        for action in host.core.take_actions() {
            self.carry_out(index, action);
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, msg } => {
                let from = self.hosts[index].member.clone();
                let to = self.hosts.iter().position(|h| h.member == to);
                let to = to.expect("members are hosts");
                if self.connected.contains(&pair(index, to)) {
                    self.send(to, Packet::Log { from, msg });
                }
            }
            Action::Persist(persist) => {
                let host = &mut self.hosts[index];
                host.syncs.push((self.now_ms + 2, persist.seq));
                if std::mem::replace(&mut host.empty, false) {
                    self.say_hello(index);
                }
            }
            Action::Apply { index: at, .. } => {
                self.hosts[index].accepted |= self.proposed.contains(&at);
            }
            _ => {}
        }
    }
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

/// No request is ever served. Hosts start in any order, with any names and addresses, some without a
/// disk, some of them no seeds; one group has to be founded, and a configuration accepted in time.
#[googletest::test]
fn fleets_of_any_names_addresses_and_starts_accept_a_configuration() {
    for seed in 0..FLEETS {
        let mut fleet = Fleet::random(seed);
        let accepted = fleet.run_until_accepted();
        expect_that!(accepted, some(anything()), "fleet {seed}");
        expect_that!(fleet.groups_founded, eq(1), "fleet {seed}");
    }
}
