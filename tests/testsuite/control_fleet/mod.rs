//! Simulates fleets of control hosts in virtual time: processes, disks, connections and an operator.
//!
//! Discovery, bootstrap, membership changes and the log are the daemon's own code. Hosts lose power,
//! pause, are partitioned, lose their disks or are removed. Silent connections time out as in the daemon.

mod disk;
mod effects;
pub(crate) mod fault_run;
mod faults;
mod host;
mod links;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch::daemon::control::seeded::Seeds;
use coltsfootnotch_consensus::{CoreConfig, DiskId, LogIndex, MemberId, Message, Term};
use coltsfootnotch_types::HostName;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) use self::disk::Disk;
pub(crate) use self::host::{Hello, Host};
use self::links::{Endpoint, Links};

/// Interval of maintenance rounds, as in the daemon.
const MAINTENANCE_MS: u64 = 150;
/// Longest time that a sync takes on a healthy disk.
const SYNC_MS: u64 = 4;
/// Longest delay of a message.
const DELAY_MS: u64 = 8;
/// Entries after which a snapshot is taken; low, so that long runs take some.
const SNAPSHOT_ENTRIES: u64 = 40;
/// Interval of the operator's configurations.
const CONFIG_INTERVAL_MS: u64 = 250;

/// A message between two hosts.
enum Packet {
    Hello(Hello),
    Log { from: MemberId, msg: Message },
}

/// A fleet of control hosts in virtual time.
pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    pub(crate) rng: StdRng,
    pub(crate) hosts: Vec<Host>,
    cfg: CoreConfig,
    links: Links,
    /// By due time and send number, with the receiver.
    packets: BTreeMap<(u64, u64), (usize, Packet)>,
    sent: u64,
    /// Proposed configurations that are not applied yet, by leader and log index.
    proposed: BTreeMap<(usize, LogIndex), (Term, u64)>,
    next_number: u64,
    next_config_ms: u64,
    /// The highest configuration number that was acknowledged.
    pub(crate) acknowledged: u64,
    pub(crate) groups_bootstrapped: usize,
    /// Events of the run, reported when it fails.
    pub(crate) trace: Vec<String>,
}

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Fleet {
    /// A fleet without hosts.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            cfg: CoreConfig {
                snapshot_entries: SNAPSHOT_ENTRIES,
                keep_entries: SNAPSHOT_ENTRIES / 2,
                promote_learners: false,
                ..CoreConfig::default()
            },
            links: Links::default(),
            packets: BTreeMap::new(),
            sent: 0,
            proposed: BTreeMap::new(),
            next_number: 1,
            next_config_ms: 0,
            acknowledged: 0,
            groups_bootstrapped: 0,
            trace: Vec::new(),
        }
    }

    /// A fleet of `log_hosts` hosts with disks that has a group and a configuration.
    pub(crate) fn bootstrapped(seed: u64, log_hosts: u8) -> Self {
        let mut fleet = Self::new(seed);
        let seeds: Vec<_> = (1..=log_hosts.min(3)).map(address).collect();
        for number in 1..=log_hosts {
            fleet.add(number, &seeds, true, 0);
        }
        while fleet.acknowledged == 0 {
            fleet.step();
            assert!(fleet.now_ms < 10_000, "a new fleet bootstraps a group");
        }
        fleet
    }

    /// Adds a host with an empty disk whose process starts at `starts_ms`; returns its place.
    pub(crate) fn add(
        &mut self,
        number: u8,
        seeds: &[SocketAddr],
        first_start: bool,
        starts_ms: u64,
    ) -> usize {
        let name = HostName::new(format!("h{number}")).expect("a valid name");
        self.add_named(name, address(number), seeds, first_start, starts_ms)
    }

    pub(crate) fn add_named(
        &mut self,
        host: HostName,
        address: SocketAddr,
        seeds: &[SocketAddr],
        first_start: bool,
        starts_ms: u64,
    ) -> usize {
        let disk = DiskId(self.rng.random());
        let host = Host {
            address,
            has_log: true,
            seeds: Seeds {
                addresses: seeds.to_vec(),
                first_start,
            },
            disk: Disk::empty(MemberId { host, disk }),
            saved_addresses: BTreeSet::new(),
            process: None,
            run: 0,
            starts_ms: Some(starts_ms),
            paused_until: 0,
        };
        self.hosts.push(host);
        self.hosts.len() - 1
    }

    pub(crate) fn run(&mut self, for_ms: u64) {
        let until = self.now_ms + for_ms;
        while self.now_ms < until {
            self.step();
        }
    }

    /// Simulates one millisecond.
    pub(crate) fn step(&mut self) {
        self.now_ms += 1;
        self.start_due();
        self.deliver_due();
        self.propose_config();
        for index in 0..self.hosts.len() {
            if !self.hosts[index].is_running(self.now_ms) {
                continue;
            }
            if (self.now_ms + 7 * index as u64).is_multiple_of(MAINTENANCE_MS) {
                self.maintain(index);
            }
            self.drive(index);
        }
    }

    fn start_due(&mut self) {
        for index in 0..self.hosts.len() {
            let due = self.hosts[index].starts_ms;
            if due.is_some_and(|due| due <= self.now_ms) {
                let now = ms(self.now_ms);
                self.hosts[index].start(&self.cfg, now, &mut self.rng);
            }
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.packets.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (to, packet) = entry.remove();
            if self.hosts[to].is_running(self.now_ms) {
                self.deliver(to, packet);
            }
        }
    }

    fn deliver(&mut self, to: usize, packet: Packet) {
        let now = ms(self.now_ms);
        let Some(process) = &mut self.hosts[to].process else {
            return;
        };
        match packet {
            Packet::Hello(hello) => {
                if process.on_hello(now, hello) {
                    self.send_hello(to);
                }
            }
            Packet::Log { from, msg } => process.core.step(now, &from, msg),
        }
    }

    /// The operator proposes the next configuration to the leader.
    fn propose_config(&mut self) {
        if self.now_ms < self.next_config_ms {
            return;
        }
        self.next_config_ms = self.now_ms + CONFIG_INTERVAL_MS;
        let now = ms(self.now_ms);
        let number = self.next_number;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let is_running = host.is_running(self.now_ms);
            let Some(process) = host.process.as_mut().filter(|_| is_running) else {
                continue;
            };
            if let Ok(placed) = process.core.propose(now, number.to_le_bytes()) {
                let place = (index, placed.index);
                self.proposed.insert(place, (placed.term, number));
                self.next_number = number + 1;
            }
        }
    }

    fn send_hello(&mut self, from: usize) {
        let Some(process) = &self.hosts[from].process else {
            return;
        };
        let hello = process.hello();
        for to in 0..self.hosts.len() {
            if self.links.is_up(self.endpoint(from), self.endpoint(to)) {
                self.send(to, Packet::Hello(hello.clone()));
            }
        }
    }

    fn send(&mut self, to: usize, packet: Packet) {
        self.sent += 1;
        let due = self.now_ms + self.rng.random_range(1..=DELAY_MS);
        self.packets.insert((due, self.sent), (to, packet));
    }

    fn maintain(&mut self, index: usize) {
        self.check_links(index);
        self.dial(index);
        let now = ms(self.now_ms);
        self.groups_bootstrapped += usize::from(self.hosts[index].bootstrap(now));
        if let Some(process) = &mut self.hosts[index].process {
            process.change_members(now);
        }
    }

    fn dial(&mut self, index: usize) {
        let now = ms(self.now_ms);
        let host = &mut self.hosts[index];
        let Some(process) = &mut host.process else {
            return;
        };
        if let Some(addresses) = process
            .discovery
            .addresses_to_save(now)
            .filter(|_| host.has_log)
        {
            host.saved_addresses = addresses;
        }
        for address in process.discovery.addresses_to_dial(now) {
            let other = self.hosts.iter().position(|h| h.address == address);
            let Some(other) = other.filter(|other| *other != index) else {
                continue;
            };
            let (a, b) = (self.endpoint(index), self.endpoint(other));
            if self.links.connect(self.now_ms, a, b) {
                self.send_hello(index);
                self.send_hello(other);
            }
        }
    }

    fn endpoint(&self, place: usize) -> Endpoint {
        let host = &self.hosts[place];
        let run = host.is_running(self.now_ms).then_some(host.run);
        Endpoint { place, run }
    }

    fn check_links(&mut self, index: usize) {
        for other in (0..self.hosts.len()).filter(|other| *other != index) {
            let (a, b) = (self.endpoint(index), self.endpoint(other));
            if self.links.check(self.now_ms, a, b) {
                self.disconnect(index, other);
            }
        }
    }

    fn disconnect(&mut self, a: usize, b: usize) {
        let now = ms(self.now_ms);
        for (one, other) in [(a, b), (b, a)] {
            let other = self.hosts[other].member().host.clone();
            if let Some(process) = &mut self.hosts[one].process {
                process.on_disconnect(now, &other);
            }
        }
    }

    fn drive(&mut self, index: usize) {
        let now = ms(self.now_ms);
        let host = &mut self.hosts[index];
        let Some(process) = &mut host.process else {
            return;
        };
        if let Some(seq) = host.disk.synced(self.now_ms) {
            process.core.synced(now, seq);
        }
        if now >= process.core.next_due() {
            process.core.tick(now);
        }
        for action in process.core.take_actions() {
            self.carry_out(index, action);
        }
    }

    /// Adds an event to the trace.
    pub(crate) fn record(&mut self, what: impl Display) {
        self.trace.push(format!("{}: {what}", self.now_ms));
    }

    /// The host that leads in the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = self.hosts.iter().enumerate().filter_map(|(place, host)| {
            let process = host.process.as_ref()?;
            process
                .core
                .is_leader()
                .then_some((process.core.status().term, place))
        });
        leads.max().map(|(_, place)| place)
    }

    /// The highest configuration number that the leader has applied.
    pub(crate) fn newest(&self) -> Option<u64> {
        let leader = self.hosts[self.leader()?].process.as_ref()?;
        Some(leader.newest())
    }

    /// Runs until a new configuration is acknowledged; returns whether it was within `within_ms`.
    pub(crate) fn accepts_config(&mut self, within_ms: u64) -> bool {
        let expected = self.next_number;
        let until = self.now_ms + within_ms;
        while self.now_ms < until {
            self.step();
            if self.acknowledged >= expected {
                return true;
            }
        }
        false
    }
}

/// The address of the host with this number.
pub(crate) fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, number % 3, 0, number], 7400))
}
