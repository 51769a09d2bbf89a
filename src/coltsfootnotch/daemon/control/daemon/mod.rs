//! State and input handling of a control daemon, without threads and timers.

mod connections;
mod from_hosts;
mod from_members;
mod group_status;
mod maintenance;
mod requests;
mod stop;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_consensus::{Core, MemberId, Recovered, RoleKind, Term};
use coltsfootnotch_fabric::{DialHandle, Endpoint, PeerId};
use coltsfootnotch_forward::registry::StoredVersions;
use coltsfootnotch_membership::RelayId;
use coltsfootnotch_state::{Evacuations, StateMachine};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::HostRecord;

pub(in crate::daemon::control) use from_hosts::encoded;

use super::bootstrap::Bootstrap;
use super::config_patches::ConfigPatches;
use super::config_push::ConfigPush;
use super::disk::{Disk, DiskReport};
use super::input::{Input, Stop};
use super::links::Links;
use super::packet::{MemberHello, MemberPacket};
use super::relay::Relay;
use super::replica::{Effect, Replica};
use super::request_table::RequestTable;
use super::seeded::{Discovery, Seeded};
use super::{ControlConfig, ControlError};
use crate::core::HostCx;
use crate::daemon::ControlAddress;
use crate::daemon::control_dialer::ControlDialer;
use crate::util::events;

/// Whether the daemon continues after an input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextStep {
    /// It continues.
    Continue,
    /// It stops.
    Stop,
}

/// Small files of the data folder.
#[derive(Debug, Default)]
pub(super) struct Saved {
    /// Addresses of other control hosts.
    pub(super) addresses: BTreeSet<SocketAddr>,
    /// Versions of services.
    pub(super) versions: StoredVersions,
}

/// The state of a control daemon and its connections.
pub(super) struct ControlDaemon {
    pub(super) host: HostCx,
    pub(super) replica: Replica,
    pub(super) relay: Relay,
    pub(super) requests: RequestTable,
    /// Syncs of the data folder since the start.
    pub(super) syncs: u64,
    /// The configuration in force, as it is sent to hosts.
    pub(super) config: ConfigPush,
    /// The configuration in force, as it is sent to forwarding entries.
    pub(super) patches: ConfigPatches,
    /// The evacuated domains that were last sent to hosts.
    pub(super) evacuations: Evacuations,
    /// Failure domains of the fleet that the settings list; empty if they list none.
    domains: BTreeSet<DomainName>,
    pub(super) endpoint: Endpoint,
    pub(super) disk: Disk,
    pub(super) links: Links,
    /// The listed control hosts are dialled until these are dropped.
    _dials: Vec<DialHandle>,
    /// Addresses dialled by discovery.
    pub(super) dialer: ControlDialer,
    /// Present only if hosts discover each other.
    pub(super) seeded: Option<Seeded>,
    pub(super) bootstrap: Bootstrap,
    leader: Option<MemberId>,
    /// Time of the next log line on a missing leader; none while a leader is known.
    no_leader_log_due: Option<Duration>,
    stop_deadline: Option<Duration>,
    /// When what was acknowledged to upstreams has arrived at the entries.
    passed_on_at: Duration,
    maintenance_due: Duration,
    heartbeat_due: Duration,
    expire_due: Duration,
    address: SocketAddr,
}

impl ControlDaemon {
    pub(super) fn new(
        host: HostCx,
        cfg: &ControlConfig,
        recovered: Recovered,
        relay: RelayId,
        endpoint: Endpoint,
        disk: Disk,
        saved: Saved,
    ) -> Self {
        let now = host.now();
        let me = host.identity.host.clone();
        let mut listed: Vec<_> = cfg.members.iter().map(|m| m.host.clone()).collect();
        listed.sort();
        let hello = MemberHello {
            member: recovered.member.clone(),
            listed,
            empty: recovered.is_empty(),
            seeded: None,
        };
        let seeded = cfg.seeds.as_ref();
        let seeded = seeded.map(|seeds| {
            let discovery = Discovery::new(cfg.address(), !cfg.diskless, seeds, saved.addresses);
            let is_first_start = seeds.first_start && hello.empty;
            Seeded::new(now, me.clone(), discovery, is_first_start, saved.versions)
        });
        let local = cfg.members.iter().find(|m| m.host == me);
        let dials = cfg.peers(&me).map(|m| dial(&endpoint, m)).collect();
        let core = Core::new(cfg.core.clone(), recovered, now, &mut rand::rng());
        Self {
            replica: Replica::new(core, cfg.batch_ledger),
            relay: Relay::new(relay, cfg.timing, now),
            requests: RequestTable::default(),
            syncs: 0,
            config: ConfigPush::default(),
            patches: ConfigPatches::default(),
            evacuations: Evacuations::default(),
            domains: cfg.domains.clone(),
            address: local.map_or(cfg.address(), |m| m.address),
            endpoint,
            disk,
            links: Links::default(),
            _dials: dials,
            dialer: ControlDialer::default(),
            seeded,
            bootstrap: Bootstrap::new(hello),
            leader: None,
            no_leader_log_due: None,
            stop_deadline: None,
            passed_on_at: Duration::ZERO,
            maintenance_due: now,
            heartbeat_due: now,
            expire_due: now,
            host,
        }
    }

    /// Handles one input.
    ///
    /// # Errors
    /// Returns an error after which the daemon must stop.
    pub(super) fn handle(&mut self, input: Input) -> Result<NextStep, ControlError> {
        let now = self.host.now();
        match input {
            Input::Fabric(event) => self.on_fabric_event(now, event),
            Input::Disk(DiskReport::Synced { seq, syncs }) => {
                self.syncs = syncs;
                self.replica.core_mut().synced(now, seq);
            }
            Input::Disk(DiskReport::VersionsSaved(number)) => self.on_versions_saved(now, number),
            Input::Disk(DiskReport::VersionsNotSaved) => self.on_versions_not_saved(),
            Input::Disk(DiskReport::Failed(e)) => return Err(ControlError::Write(e)),
            Input::Call(call, tx) => self.on_call(now, call, tx),
            Input::Seeds(seeds) => self.set_seeds(now, &seeds),
            Input::Stop(Stop::Now) => return Ok(NextStep::Stop),
            Input::Stop(Stop::Graceful) => self.start_stop(now),
        }
        self.run_effects(now)
    }

    /// Runs timers that are due.
    ///
    /// # Errors
    /// Returns an error after which the daemon must stop.
    pub(super) fn tick(&mut self) -> Result<NextStep, ControlError> {
        let now = self.host.now();
        self.replica.core_mut().tick(now);
        if now >= self.maintenance_due {
            self.maintain(now);
        }
        self.exchange_load(now);
        self.run_effects(now)
    }

    /// When [`ControlDaemon::tick`] is due, in time since the start.
    pub(super) fn next_due(&self) -> Duration {
        let mut due = self.replica.core().next_due().min(self.maintenance_due);
        if self.is_stopping() && self.passed_on_at > self.host.now() {
            due = due.min(self.passed_on_at);
        }
        self.seeded.as_ref().map_or(due, |s| due.min(s.load_due))
    }

    /// Whether this daemon knows a leader and is not stopping.
    pub(super) fn is_ready(&self) -> bool {
        self.leader.is_some() && self.stop_deadline.is_none()
    }

    /// Closes the daemon and releases the data folder.
    pub(super) fn close(self) {
        self.links.close_all();
        self.endpoint.close();
        self.disk.close();
    }

    /// Runs all effects of the handled input.
    fn run_effects(&mut self, now: Duration) -> Result<NextStep, ControlError> {
        loop {
            let effects = self.replica.drive(now)?;
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.run_effect(now, effect);
            }
            self.on_config_applied(now);
            self.on_evacuations_applied();
            self.respond_to_applied_reads(now);
        }
        Ok(self.next_step(now))
    }

    fn run_effect(&mut self, now: Duration, effect: Effect) {
        match effect {
            Effect::Send(to, msg) => self.send_log(&to, msg),
            Effect::Persist(persist) => {
                if self.bootstrap.mark_not_empty() {
                    self.broadcast_hello();
                }
                self.disk.persist(persist);
            }
            Effect::Completed(request, response) => self.complete(now, request, response),
            Effect::RoleChanged(role, term, leader) => self.set_role(now, role, term, leader),
            Effect::MembersChanged(members) => self.log_members(&members),
        }
    }

    fn set_role(&mut self, now: Duration, role: RoleKind, term: Term, leader: Option<MemberId>) {
        let me = &self.bootstrap.local_hello().member;
        let led = self.leader.as_ref() == Some(me);
        let leads = leader.as_ref() == Some(me) && role == RoleKind::Leader;
        if leads && !led {
            self.host.log(&events::LEADER_ELECTED, &[("term", &term)]);
        }
        if led && !leads {
            self.host.log(&events::LEADER_LOST, &[("term", &term)]);
        }
        self.leader = leader;
        self.retry_waiting(now);
    }

    pub(super) fn broadcast_hello(&self) {
        let hello = self.local_hello();
        self.links.broadcast_to_members(&MemberPacket::Hello(hello));
    }

    pub(super) fn local_hello(&self) -> MemberHello {
        MemberHello {
            seeded: self.seeded.as_ref().map(|s| s.discovery.hello()),
            ..self.bootstrap.local_hello().clone()
        }
    }

    fn set_seeds(&mut self, now: Duration, seeds: &[SocketAddr]) {
        if let Some(seeded) = &mut self.seeded {
            seeded.discovery.set_seeds(now, seeds);
        }
        self.broadcast_hello();
    }

    /// Whether `host` is another control host that is not connected. The directory keeps the summary of a
    /// lost relay, including the relay's own record.
    pub(super) fn is_lost_relay(&self, host: &HostName) -> bool {
        let record = self.relay.directory.get(host);
        let profile = record.and_then(|r| r.profile.as_ref());
        let is_control = profile.is_some_and(|p| p.role == Role::Control);
        is_control && *host != self.host.identity.host && !self.links.has_control(host)
    }

    /// Whether the fleet has the failure domain: the settings list it, or a host of the directory is
    /// in it. Settings that list no domains allow any.
    pub(super) fn is_known_domain(&self, domain: &DomainName) -> bool {
        let mut profiles = self
            .relay
            .directory
            .hosts()
            .filter_map(|h| h.profile.as_ref());
        self.domains.contains(domain)
            || profiles.any(|profile| profile.domain == *domain)
            || self.domains.is_empty() && self.seeded.is_some()
    }

    /// This host's record in the directory.
    fn local_record(&self) -> HostRecord {
        let identity = &self.host.identity;
        HostRecord {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
            role: Role::Control,
            domain: identity.domain.clone(),
            address: self.address,
            config: self.machine().config().number(),
            pools: Vec::new(),
            leaving: self.stop_deadline.is_some(),
        }
    }

    fn machine(&self) -> &StateMachine {
        self.replica.machine()
    }
}

fn dial(endpoint: &Endpoint, member: &ControlAddress) -> DialHandle {
    let peer = PeerId {
        role: Role::Control,
        host: member.host.clone(),
    };
    endpoint.dial(member.address, peer)
}
