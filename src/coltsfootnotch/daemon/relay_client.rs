//! A host's connection to the control group, through one control host as its relay.
//!
//! A host connects to one relay at a time, preferably in its own failure domain: connections
//! to all control hosts make each of them handle the keep-alives of the whole fleet. When the relay
//! doesn't respond, the next one is tried; directory and configuration stay in use meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_fabric::{DialHandle, Endpoint, LinkId, LinkTx, PeerId};
use coltsfootnotch_forward::registry::EvacuatedDomains;
use coltsfootnotch_manifest::{ConfigIndex, Manifest, ManifestDelta};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    ConfigBody, FromRelay, Heartbeat, HostRecord, Message, ProposeError, ToRelay,
};

use super::ControlAddress;
use crate::core::HostCx;
use crate::util::events;

/// Time between heartbeats: five may be lost before a host is considered silent after 3 s.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time to connect to a relay, after which the next one is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a relay may be without a quorum before the next one is tried; longer than an election.
const QUORUM_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time between two such changes of relay. Keeps hosts from cycling through the relays
/// while no control host has a quorum.
const MIN_TIME_AT_RELAY: Duration = Duration::from_secs(5);
/// Time between requests for the confirmed configuration while the group has no quorum.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// An event from the relay that the daemon has to handle.
#[derive(Debug)]
pub enum RelayEvent {
    /// The directory of hosts has changed.
    Hosts {
        /// Records of new or changed hosts.
        changed: Vec<HostRecord>,
        /// Hosts that left the directory.
        removed: Vec<HostName>,
    },
    /// The service report with this sequence number was applied.
    ServiceApplied(u64),
    /// Service of each account on other hosts.
    Totals(Vec<(AccountName, ServiceUnits)>),
    /// The reply to a proposal.
    Proposed {
        /// Number that [`RelayClient::propose`] returned.
        id: u64,
        /// Result of the state machine.
        reply: Result<Vec<u8>, ProposeError>,
    },
    /// A newer configuration is in force.
    Config(ConfigUpdate),
    /// Whether the failure domain of this host is evacuated.
    Evacuation {
        /// Whether it is.
        evacuated: bool,
    },
}

/// A configuration that came into force.
#[derive(Debug, Clone)]
pub struct ConfigUpdate(pub Arc<ConfigIndex>);

#[derive(Debug)]
struct Connection {
    link: LinkId,
    tx: LinkTx,
}

/// The relay connection of one daemon; owned by its actor.
pub struct RelayClient {
    cx: HostCx,
    relays: Vec<ControlAddress>,
    /// Index in `relays` of the relay in use.
    relay_index: usize,
    dial: Option<DialHandle>,
    dialed_since: Duration,
    connection: Option<Connection>,
    directory: BTreeMap<HostName, HostRecord>,
    directory_version: (Option<Incarnation>, u64),
    config: Option<Arc<ConfigIndex>>,
    evacuated: EvacuatedDomains,
    no_quorum_since: Option<Duration>,
    switched_at: Duration,
    next_id: u64,
    confirm_sent_at: Option<Duration>,
    heartbeat_seq: u64,
    /// Number of connections to relays so far.
    connection_count: u32,
    last_heartbeat: Duration,
}

impl RelayClient {
    /// Creates a client that prefers relays of the host's own failure domain.
    #[must_use]
    pub fn new(cx: HostCx, mut relays: Vec<ControlAddress>) -> Self {
        relays.sort_by_key(|relay| relay.domain != cx.identity.domain);
        Self {
            cx,
            relays,
            relay_index: 0,
            dial: None,
            dialed_since: Duration::ZERO,
            connection: None,
            directory: BTreeMap::new(),
            directory_version: (None, 0),
            config: None,
            evacuated: EvacuatedDomains::default(),
            no_quorum_since: None,
            switched_at: Duration::ZERO,
            next_id: 0,
            confirm_sent_at: None,
            heartbeat_seq: 0,
            connection_count: 0,
            last_heartbeat: Duration::ZERO,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<ConfigIndex>> {
        self.config.as_ref()
    }

    /// The number of the configuration in force, or zero if there is none.
    #[must_use]
    pub fn config_number(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.number())
    }

    /// Handles a new connection to the relay.
    pub fn on_link_up(&mut self, link: LinkId, tx: LinkTx) {
        self.no_quorum_since = None;
        self.connection_count += 1;
        self.connection = Some(Connection { link, tx });
        self.last_heartbeat = Duration::ZERO;
        self.confirm_sent_at = None;
        self.directory_version = (None, 0);
    }

    /// Handles the loss of a connection.
    pub fn on_link_down(&mut self, link: LinkId, now: Duration) {
        if self.connection.as_ref().is_some_and(|c| c.link == link) {
            self.connection = None;
            self.dialed_since = now;
        }
    }

    /// The current connection to the relay.
    #[must_use]
    pub fn link(&self) -> Option<LinkId> {
        self.connection.as_ref().map(|c| c.link)
    }

    /// Sends a message to the relay; returns false if it can't be sent.
    pub fn send(&self, message: ToRelay) -> bool {
        let Some(connection) = &self.connection else {
            return false;
        };
        connection.tx.send(&Message::ToRelay(message)).is_ok()
    }

    /// Proposes a command to the control group. Returns the number that its reply carries, or
    /// `None` if no relay is connected.
    pub fn propose(&mut self, command: Vec<u8>) -> Option<u64> {
        let id = self.new_id();
        self.send(ToRelay::Propose { id, command }).then_some(id)
    }

    /// Dials a relay, requests the configuration and sends heartbeats, each when due.
    pub fn tick(&mut self, endpoint: &Endpoint, record: impl FnOnce(u64) -> HostRecord) {
        let now = self.cx.now();
        if self.connection.is_none() {
            return self.dial_relay(endpoint, now);
        }
        if self.has_lost_quorum(now) {
            return self.switch_relay(now);
        }
        if self.config.is_none() && self.is_confirm_due(now) {
            let id = self.new_id();
            self.send(ToRelay::ConfigConfirmed { id });
            self.confirm_sent_at = Some(now);
        }
        if self.last_heartbeat == Duration::ZERO || now >= self.last_heartbeat + HEARTBEAT {
            self.send_heartbeat(now, record);
        }
    }

    /// Sends a heartbeat immediately.
    pub fn send_heartbeat(&mut self, now: Duration, record: impl FnOnce(u64) -> HostRecord) {
        self.last_heartbeat = now;
        self.heartbeat_seq += 1;
        let heartbeat = Heartbeat {
            seq: self.heartbeat_seq,
            started: self.cx.started_at(),
            attach: self.connection_count,
            record: record(self.config_number()),
            directory: self.directory_version.1,
        };
        self.send(ToRelay::Heartbeat(heartbeat));
    }

    /// Applies a message from the relay; messages on other connections are ignored.
    pub fn on_message(&mut self, link: LinkId, message: FromRelay) -> Option<RelayEvent> {
        if self.connection.as_ref().is_none_or(|c| c.link != link) {
            return None;
        }
        match message {
            FromRelay::Directory {
                relay,
                version,
                full,
                changed,
                removed,
            } => Some(self.on_directory(relay, version, full, changed, removed)),
            FromRelay::ServiceApplied { seq } => Some(RelayEvent::ServiceApplied(seq)),
            FromRelay::Totals { remote } => Some(RelayEvent::Totals(remote)),
            FromRelay::Proposed { id, reply } => {
                self.record_quorum(reply.as_ref().err());
                Some(RelayEvent::Proposed { id, reply })
            }
            FromRelay::Config(body) if self.config.is_some() => self.on_config(&body),
            FromRelay::ConfigDelta { delta, .. } => self.on_delta(&delta),
            FromRelay::ConfigConfirmed {
                config: Ok(Some(body)),
                ..
            } => self.on_config(&body),
            // A configuration pushed before the first confirmed response is ignored: a partitioned
            // relay may have an older one than this host had in force before its restart.
            FromRelay::ConfigConfirmed { config, .. } => {
                self.record_quorum(config.as_ref().err());
                None
            }
            FromRelay::Config(_) => None,
            FromRelay::Evacuations { revision, domains } => self.on_evacuations(revision, &domains),
            // Responses to operators, and messages for forwarding entries.
            FromRelay::Status { .. }
            | FromRelay::Members { .. }
            | FromRelay::Upstreams(_)
            | FromRelay::UpstreamsAlive(_)
            | FromRelay::UpstreamLeft { .. }
            | FromRelay::FleetLoad { .. }
            | FromRelay::StreamFound { .. }
            | FromRelay::StreamMoveRecorded { .. }
            | FromRelay::Lease { .. }
            | FromRelay::ConfigPatch { .. }
            | FromRelay::Neighbours { .. }
            | FromRelay::RetryHistory(_)
            | FromRelay::ControlHosts { .. } => None,
        }
    }

    fn on_evacuations(&mut self, revision: u64, domains: &[DomainName]) -> Option<RelayEvent> {
        let domains = domains.iter().map(|domain| domain.as_str().into());
        self.evacuated.apply(revision, domains)?;
        let evacuated = self.evacuated.contains(self.cx.identity.domain.as_str());
        Some(RelayEvent::Evacuation { evacuated })
    }

    /// Records since when the relay has been without a quorum.
    fn record_quorum(&mut self, error: Option<&ProposeError>) {
        if error == Some(&ProposeError::NoQuorum) {
            let now = self.cx.now();
            self.no_quorum_since.get_or_insert(now);
        } else {
            self.no_quorum_since = None;
        }
    }

    /// Whether the relay has been without a quorum for so long that another relay is tried.
    fn has_lost_quorum(&self, now: Duration) -> bool {
        let since = self.no_quorum_since.map(|since| now.saturating_sub(since));
        let may_switch = now >= self.switched_at + MIN_TIME_AT_RELAY;
        may_switch && since.is_some_and(|since| since >= QUORUM_TIMEOUT)
    }

    /// Switches to the next relay: this one is connected, but partitioned from its group or without
    /// its disk.
    fn switch_relay(&mut self, now: Duration) {
        if let Some(connection) = self.connection.take() {
            connection.tx.close();
        }
        self.dial = None;
        self.no_quorum_since = None;
        self.switched_at = now;
        self.relay_index = (self.relay_index + 1) % self.relays.len().max(1);
    }

    fn dial_relay(&mut self, endpoint: &Endpoint, now: Duration) {
        let is_connecting = now < self.dialed_since + CONNECT_TIMEOUT;
        if self.relays.is_empty() || (self.dial.is_some() && is_connecting) {
            return;
        }
        if self.dial.is_some() {
            self.relay_index = (self.relay_index + 1) % self.relays.len();
        }
        let relay = &self.relays[self.relay_index];
        let peer = PeerId {
            role: Role::Control,
            host: relay.host.clone(),
        };
        self.dial = Some(endpoint.dial(relay.address, peer));
        self.dialed_since = now;
    }

    fn is_confirm_due(&self, now: Duration) -> bool {
        self.confirm_sent_at
            .is_none_or(|sent| now >= sent + CONFIRM_INTERVAL)
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn on_directory(
        &mut self,
        relay: Incarnation,
        version: u64,
        full: bool,
        changed: Vec<HostRecord>,
        mut removed: Vec<HostName>,
    ) -> RelayEvent {
        if full {
            let is_listed = |host: &HostName| changed.iter().any(|record| record.host == *host);
            removed.extend(
                self.directory
                    .keys()
                    .filter(|host| !is_listed(host))
                    .cloned(),
            );
        }
        self.directory_version = (Some(relay), version);
        for record in &changed {
            self.directory.insert(record.host.clone(), record.clone());
        }
        for host in &removed {
            self.directory.remove(host);
        }
        RelayEvent::Hosts { changed, removed }
    }

    fn on_config(&mut self, body: &ConfigBody) -> Option<RelayEvent> {
        let manifest = match Manifest::from_body(&body.body) {
            Ok(manifest) => manifest,
            Err(e) => {
                self.cx.log(
                    &events::CONFIG_UNDECODABLE,
                    &[("number", &body.number), ("cause", &e)],
                );
                return None;
            }
        };
        self.put_in_force(manifest)
    }

    /// Applies a delta. One that doesn't apply is ignored: the relay sends the whole configuration
    /// when this host doesn't report the new number.
    fn on_delta(&mut self, delta: &[u8]) -> Option<RelayEvent> {
        let base = self.config.as_ref()?;
        let delta: ManifestDelta = postcard::from_bytes(delta).ok()?;
        let manifest = delta.apply(base.manifest()).ok()?;
        self.put_in_force(manifest)
    }

    fn put_in_force(&mut self, manifest: Manifest) -> Option<RelayEvent> {
        if manifest.number <= self.config_number() {
            return None;
        }
        let config = Arc::new(ConfigIndex::new(manifest));
        assert!(
            config.number() > self.config_number(),
            "the configuration number decreases"
        );
        self.config = Some(Arc::clone(&config));
        self.cx
            .log(&events::CONFIG_IN_FORCE, &[("number", &config.number())]);
        self.last_heartbeat = Duration::ZERO;
        Some(RelayEvent::Config(ConfigUpdate(config)))
    }
}
