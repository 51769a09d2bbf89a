//! A simulated control host and the process on it, which decides with the daemon's own code.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch::daemon::control::seeded::founding::{SeededFounding, Seen};
use coltsfootnotch::daemon::control::seeded::members::GroupView;
use coltsfootnotch::daemon::control::seeded::{Contact, Finding, SeededHello, Seeds};
use coltsfootnotch_consensus::{Core, CoreConfig, LogIndex, MemberId, Recovered};
use coltsfootnotch_types::HostName;
use rand::rngs::StdRng;

use super::disk::Disk;

/// What a control host says of itself when a connection is made.
#[derive(Clone)]
pub(crate) struct Hello {
    pub(crate) member: MemberId,
    pub(crate) empty: bool,
    pub(crate) seeded: SeededHello,
}

/// A simulated control host.
pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    pub(crate) keeps_log: bool,
    pub(crate) seeds: Seeds,
    pub(crate) disk: Disk,
    /// Addresses of other control hosts that the data folder keeps.
    pub(crate) kept: BTreeSet<SocketAddr>,
    pub(crate) process: Option<Process>,
    /// Processes started here so far.
    pub(crate) run: u64,
    /// When a process starts here next.
    pub(crate) starts_ms: Option<u64>,
    /// The process does nothing before this millisecond.
    pub(crate) frozen_until: u64,
}

impl Host {
    pub(crate) fn member(&self) -> &MemberId {
        &self.disk.content().member
    }

    pub(crate) fn is_awake(&self, now_ms: u64) -> bool {
        self.process.is_some() && now_ms >= self.frozen_until
    }

    pub(crate) fn start(&mut self, cfg: &CoreConfig, now: Duration, rng: &mut StdRng) {
        let recovered = self.disk.content().clone();
        let finding = Finding::new(self.address, self.keeps_log, &self.seeds, self.kept.clone());
        self.process = Some(Process::new(cfg, recovered, finding, now, rng));
        self.starts_ms = None;
        self.run += 1;
    }

    /// Founds the group if it is this host's turn; whether it did.
    pub(crate) fn found(&mut self, now: Duration) -> bool {
        let founds = self.process.as_mut().is_some_and(|p| p.found(now));
        assert!(
            self.keeps_log || !founds,
            "a host without a disk can't found a group"
        );
        founds
    }
}

/// A control process.
pub(crate) struct Process {
    pub(crate) core: Core,
    pub(crate) finding: Finding,
    founding: SeededFounding,
    contact: Contact,
    pub(crate) empty: bool,
    /// What the connected hosts said of themselves.
    heard: BTreeMap<HostName, Hello>,
    /// The state machine: every configuration number by its place in the log.
    pub(crate) applied: BTreeMap<LogIndex, u64>,
    pub(crate) last_applied: LogIndex,
}

impl Process {
    fn new(
        cfg: &CoreConfig,
        recovered: Recovered,
        finding: Finding,
        now: Duration,
        rng: &mut StdRng,
    ) -> Self {
        Self {
            empty: recovered.is_empty(),
            core: Core::new(cfg.clone(), recovered, now, rng),
            finding,
            founding: SeededFounding::default(),
            contact: Contact::default(),
            heard: BTreeMap::new(),
            applied: BTreeMap::new(),
            last_applied: LogIndex(0),
        }
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            member: self.core.status().member,
            empty: self.empty,
            seeded: self.finding.hello(),
        }
    }

    /// Takes what another host says of itself; whether it is one that was not connected.
    pub(crate) fn hear(&mut self, now: Duration, hello: Hello) -> bool {
        let host = hello.member.host.clone();
        let is_new = self.finding.hear(now, &host, hello.seeded.clone());
        self.heard.insert(host, hello);
        is_new
    }

    pub(crate) fn lose(&mut self, now: Duration, host: &HostName) {
        self.finding.lose(now, host);
        self.heard.remove(host);
    }

    /// The highest configuration number that is applied here.
    pub(crate) fn newest(&self) -> u64 {
        self.applied.values().copied().max().unwrap_or(0)
    }

    fn found(&mut self, now: Duration) -> bool {
        if !self.empty {
            return false;
        }
        let own = self.hello();
        let own = Seen {
            member: &own.member,
            empty: true,
            hello: &own.seeded,
        };
        let others = self.heard.values().map(|hello| Seen {
            member: &hello.member,
            empty: hello.empty,
            hello: &hello.seeded,
        });
        let Ok(members) = self.founding.due(now, own, others) else {
            return false;
        };
        self.core
            .bootstrap(now, members.voters)
            .expect("the log takes the same host for the founder");
        true
    }

    pub(crate) fn change_members(&mut self, now: Duration) {
        let members = self.core.status().members;
        let others = self.heard.values().map(|h| (&h.member, &h.seeded));
        let own = self.core.status().member;
        self.contact.note(now, &members, &own, others);
        if !self.core.is_leader() {
            return;
        }
        let view = GroupView {
            members: &members,
            peers: &self.core.peers(),
            contact: &self.contact,
        };
        if let Some(change) = view.next_change(now) {
            // Refused while an earlier change is under way; the next round tries again.
            let _refused = self.core.change_members(now, &change);
        }
    }
}
