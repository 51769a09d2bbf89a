//! What a control daemon does with each input, apart from threads and timers.

mod connections;
mod from_hosts;
mod from_members;
mod group_watch;
mod requests;
mod upkeep;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_consensus::{Core, MemberId, Recovered, RoleKind, Term};
use coltsfootnotch_fabric::{Dialed, Endpoint, PeerId};
use coltsfootnotch_membership::RelayId;
use coltsfootnotch_state::StateMachine;
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::HostRecord;

use super::config_push::ConfigPush;
use super::disk::{Disk, DiskReport};
use super::founding::Founding;
use super::input::{Input, Stop};
use super::links::Links;
use super::packet::{MemberHello, MemberPacket};
use super::relay::Relay;
use super::replica::{Effect, Replica};
use super::request_table::RequestTable;
use super::seeded::{Finding, Seeded};
use super::{ControlConfig, ControlError};
use crate::core::HostCx;
use crate::daemon::ControlAddress;
use crate::daemon::control_dials::ControlDials;
use crate::util::events;

/// Longest time that a graceful stop waits for another leader.
const STOP_WITHIN: Duration = Duration::from_secs(2);

/// Whether the daemon goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    /// It goes on.
    GoOn,
    /// It ends.
    End,
}

/// One control daemon: what it knows and whom it talks to.
pub(super) struct ControlDaemon {
    pub(super) host: HostCx,
    pub(super) replica: Replica,
    pub(super) relay: Relay,
    pub(super) requests: RequestTable,
    /// Syncs of the data folder since the start.
    pub(super) syncs: u64,
    /// The configuration in force, as it is sent to hosts.
    pub(super) config: ConfigPush,
    pub(super) endpoint: Endpoint,
    pub(super) disk: Disk,
    pub(super) links: Links,
    /// The other control hosts are dialled for as long as these are kept.
    _dialed: Vec<Dialed>,
    /// Addresses that are dialled where hosts find each other.
    pub(super) dials: ControlDials,
    /// The part that exists only there.
    pub(super) seeded: Option<Seeded>,
    pub(super) founding: Founding,
    leader: Option<MemberId>,
    /// When it is told next that no leader is known; none while one is.
    no_leader_due: Option<Duration>,
    stop_by: Option<Duration>,
    upkeep_due: Duration,
    beat_due: Duration,
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
        kept_addresses: BTreeSet<SocketAddr>,
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
            let finding = Finding::new(cfg.address(), !cfg.diskless, seeds, kept_addresses);
            Seeded::new(now, finding)
        });
        let own = cfg.members.iter().find(|m| m.host == me);
        let dialed = cfg.others(&me).map(|m| dial(&endpoint, m)).collect();
        let core = Core::new(cfg.core.clone(), recovered, now, &mut rand::rng());
        Self {
            replica: Replica::new(core, cfg.batch_ledger),
            relay: Relay::new(relay, cfg.timing, now),
            requests: RequestTable::default(),
            syncs: 0,
            config: ConfigPush::default(),
            address: own.map_or(cfg.address(), |m| m.address),
            endpoint,
            disk,
            links: Links::default(),
            _dialed: dialed,
            dials: ControlDials::default(),
            seeded,
            founding: Founding::new(hello),
            leader: None,
            no_leader_due: None,
            stop_by: None,
            upkeep_due: now,
            beat_due: now,
            expire_due: now,
            host,
        }
    }

    /// Takes one input in.
    ///
    /// # Errors
    /// Returns an error after which the daemon must stop.
    pub(super) fn handle(&mut self, input: Input) -> Result<Next, ControlError> {
        let now = self.host.now();
        match input {
            Input::Fabric(event) => self.on_event(now, event),
            Input::Disk(DiskReport::Synced { seq, syncs }) => {
                self.syncs = syncs;
                self.replica.core_mut().synced(now, seq);
            }
            Input::Disk(DiskReport::Failed(e)) => return Err(ControlError::Write(e)),
            Input::Call(call, tx) => self.on_call(now, call, tx),
            Input::Seeds(seeds) => self.set_seeds(now, &seeds),
            Input::Stop(Stop::Now) => return Ok(Next::End),
            Input::Stop(Stop::Graceful) => self.begin_stop(now),
        }
        self.settle(now)
    }

    /// Does what is due by time.
    ///
    /// # Errors
    /// Returns an error after which the daemon must stop.
    pub(super) fn tick(&mut self) -> Result<Next, ControlError> {
        let now = self.host.now();
        self.replica.core_mut().tick(now);
        if now >= self.upkeep_due {
            self.upkeep(now);
        }
        self.tell_fleet(now);
        self.settle(now)
    }

    /// When [`ControlDaemon::tick`] is due, in time since the start.
    pub(super) fn next_due(&self) -> Duration {
        let due = self.replica.core().next_due().min(self.upkeep_due);
        self.seeded.as_ref().map_or(due, |s| due.min(s.fleet_due))
    }

    /// Whether this daemon knows a leader and is not stopping.
    pub(super) fn is_ready(&self) -> bool {
        self.leader.is_some() && self.stop_by.is_none()
    }

    /// Ends the daemon: the data folder is released when this returns.
    pub(super) fn close(self) {
        self.links.close_all();
        self.endpoint.close();
        self.disk.close();
    }

    /// Carries out everything that follows from what was taken in.
    fn settle(&mut self, now: Duration) -> Result<Next, ControlError> {
        loop {
            let effects = self.replica.drive(now)?;
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.carry_out(now, effect);
            }
            self.config_applied(now);
            self.answer_applied(now);
        }
        Ok(self.next_step(now))
    }

    fn next_step(&self, now: Duration) -> Next {
        match self.stop_by {
            Some(by) if now >= by || !self.replica.core().is_leader() => Next::End,
            _ => Next::GoOn,
        }
    }

    fn carry_out(&mut self, now: Duration, effect: Effect) {
        match effect {
            Effect::Send(to, msg) => self.send_log(&to, msg),
            Effect::Persist(persist) => {
                if self.founding.joined() {
                    self.say_hello();
                }
                self.disk.persist(persist);
            }
            Effect::Done(request, answer) => self.done(now, request, answer),
            Effect::Became(role, term, leader) => self.became(now, role, term, leader),
            Effect::Members(members) => self.members_changed(&members),
        }
    }

    fn became(&mut self, now: Duration, role: RoleKind, term: Term, leader: Option<MemberId>) {
        let me = &self.founding.hello().member;
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

    fn begin_stop(&mut self, now: Duration) {
        if self.stop_by.is_some() {
            return;
        }
        self.host.log(&events::SHUTDOWN_STARTED, &[]);
        self.stop_by = Some(now + STOP_WITHIN);
        // Without a successor this member leads to its end, and the others elect when it is gone.
        let _ = self.replica.core_mut().transfer(now, None);
    }

    pub(super) fn say_hello(&self) {
        let hello = self.own_hello();
        self.links.send_members(&MemberPacket::Hello(hello));
    }

    pub(super) fn own_hello(&self) -> MemberHello {
        MemberHello {
            seeded: self.seeded.as_ref().map(|s| s.finding.hello()),
            ..self.founding.hello().clone()
        }
    }

    fn set_seeds(&mut self, now: Duration, seeds: &[SocketAddr]) {
        if let Some(seeded) = &mut self.seeded {
            seeded.finding.set_seeds(now, seeds);
        }
        self.say_hello();
    }

    /// Whether `host` is another control host that is not connected. What it said as a relay is kept
    /// for its hosts' sake, and with it its own record, which only it could take back.
    pub(super) fn is_lost_relay(&self, host: &HostName) -> bool {
        let record = self.relay.directory.get(host);
        let profile = record.and_then(|r| r.profile.as_ref());
        let is_control = profile.is_some_and(|p| p.role == Role::Control);
        is_control && *host != self.host.identity.host && !self.links.has_control(host)
    }

    /// This host as the others find it.
    fn own_record(&self) -> HostRecord {
        let identity = &self.host.identity;
        HostRecord {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
            role: Role::Control,
            domain: identity.domain.clone(),
            address: self.address,
            config: self.machine().config().number(),
            pools: Vec::new(),
            leaving: self.stop_by.is_some(),
        }
    }

    fn machine(&self) -> &StateMachine {
        self.replica.machine()
    }
}

fn dial(endpoint: &Endpoint, member: &ControlAddress) -> Dialed {
    let peer = PeerId {
        role: Role::Control,
        host: member.host.clone(),
    };
    endpoint.dial(member.address, peer)
}
