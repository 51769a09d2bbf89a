//! A simulated control host and its process, which runs the daemon's discovery and membership code.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch::daemon::control::seeded::bootstrap::{ObservedHost, SeededBootstrap};
use coltsfootnotch::daemon::control::seeded::members::GroupView;
use coltsfootnotch::daemon::control::seeded::{Connectivity, Discovery, SeededHello, Seeds};
use coltsfootnotch_consensus::{Core, CoreConfig, LogIndex, MemberId, Recovered};
use coltsfootnotch_types::HostName;
use rand::rngs::StdRng;

use super::disk::Disk;

/// The hello of a control host.
#[derive(Clone)]
pub(crate) struct Hello {
    pub(crate) member: MemberId,
    pub(crate) empty: bool,
    pub(crate) seeded: SeededHello,
}

/// A simulated control host.
pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    pub(crate) has_log: bool,
    pub(crate) seeds: Seeds,
    pub(crate) disk: Disk,
    /// Addresses of other control hosts in the data folder.
    pub(crate) saved_addresses: BTreeSet<SocketAddr>,
    pub(crate) process: Option<Process>,
    /// Number of processes started so far.
    pub(crate) run: u64,
    /// Time of the next start of a process.
    pub(crate) starts_ms: Option<u64>,
    /// The process is paused until this millisecond.
    pub(crate) paused_until: u64,
}

impl Host {
    pub(crate) fn member(&self) -> &MemberId {
        &self.disk.content().member
    }

    pub(crate) fn is_running(&self, now_ms: u64) -> bool {
        self.process.is_some() && now_ms >= self.paused_until
    }

    pub(crate) fn start(&mut self, cfg: &CoreConfig, now: Duration, rng: &mut StdRng) {
        let recovered = self.disk.content().clone();
        let discovery = Discovery::new(
            self.address,
            self.has_log,
            &self.seeds,
            self.saved_addresses.clone(),
        );
        self.process = Some(Process::new(cfg, recovered, discovery, now, rng));
        self.starts_ms = None;
        self.run += 1;
    }

    /// Bootstraps the group if the conditions are met; returns whether it did.
    pub(crate) fn bootstrap(&mut self, now: Duration) -> bool {
        let has_bootstrapped = self.process.as_mut().is_some_and(|p| p.bootstrap(now));
        assert!(
            self.has_log || !has_bootstrapped,
            "a host without a disk can't bootstrap a group"
        );
        has_bootstrapped
    }
}

/// A control process.
pub(crate) struct Process {
    pub(crate) core: Core,
    pub(crate) discovery: Discovery,
    bootstrap: SeededBootstrap,
    connectivity: Connectivity,
    pub(crate) empty: bool,
    /// Hellos of the connected hosts.
    hellos: BTreeMap<HostName, Hello>,
    /// The state machine: configuration numbers by log index.
    pub(crate) applied: BTreeMap<LogIndex, u64>,
    pub(crate) last_applied: LogIndex,
}

impl Process {
    fn new(
        cfg: &CoreConfig,
        recovered: Recovered,
        discovery: Discovery,
        now: Duration,
        rng: &mut StdRng,
    ) -> Self {
        Self {
            empty: recovered.is_empty(),
            core: Core::new(cfg.clone(), recovered, now, rng),
            discovery,
            bootstrap: SeededBootstrap::default(),
            connectivity: Connectivity::default(),
            hellos: BTreeMap::new(),
            applied: BTreeMap::new(),
            last_applied: LogIndex(0),
        }
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            member: self.core.status().member,
            empty: self.empty,
            seeded: self.discovery.hello(),
        }
    }

    /// Records a hello; returns whether the host is newly connected.
    pub(crate) fn on_hello(&mut self, now: Duration, hello: Hello) -> bool {
        let host = hello.member.host.clone();
        let is_new = self
            .discovery
            .record_hello(now, &host, hello.seeded.clone());
        self.hellos.insert(host, hello);
        is_new
    }

    pub(crate) fn on_disconnect(&mut self, now: Duration, host: &HostName) {
        self.discovery.remove_host(now, host);
        self.hellos.remove(host);
    }

    /// The highest applied configuration number.
    pub(crate) fn newest(&self) -> u64 {
        self.applied.values().copied().max().unwrap_or(0)
    }

    fn bootstrap(&mut self, now: Duration) -> bool {
        if !self.empty {
            return false;
        }
        let local = self.hello();
        let local = ObservedHost {
            member: &local.member,
            empty: true,
            hello: &local.seeded,
        };
        let others = self.hellos.values().map(|hello| ObservedHost {
            member: &hello.member,
            empty: hello.empty,
            hello: &hello.seeded,
        });
        let Ok(members) = self.bootstrap.due(now, local, others) else {
            return false;
        };
        self.core
            .bootstrap(now, members.voters)
            .expect("the log accepts the same bootstrap member");
        true
    }

    pub(crate) fn change_members(&mut self, now: Duration) {
        let members = self.core.status().members;
        let others = self.hellos.values().map(|h| (&h.member, &h.seeded));
        let local = self.core.status().member;
        self.connectivity.update(now, &members, &local, others);
        if !self.core.is_leader() {
            return;
        }
        let view = GroupView {
            members: &members,
            peers: &self.core.peers(),
            connectivity: &self.connectivity,
        };
        if let Some(change) = view.next_change(now) {
            // Refused while an earlier change is in progress; retried in the next round.
            let _refused = self.core.change_members(now, &change);
        }
    }
}
