//! A host's connection to the control group, through the control host that is its relay.
//!
//! One relay at a time, that of the host's own failure domain first: a connection to each control
//! host would cost a control host the keep-alives of the whole fleet. When the relay does not answer,
//! the next one is tried; what the host knows stays good meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_fabric::{DialHandle, Endpoint, LinkId, LinkTx, PeerId};
use coltsfootnotch_manifest::{ConfigIndex, Manifest, ManifestDelta};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    ConfigBody, FromRelay, Heartbeat, HostRecord, Message, ProposeError, ToRelay,
};

use super::ControlAddress;
use crate::core::HostCx;
use crate::util::events;

/// Time between heartbeats: five may be lost before a host counts as silent after 3 s.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// How long a relay may take to connect before the next one is tried.
const RELAY_PATIENCE: Duration = Duration::from_millis(1_500);
/// How long a relay may answer that it has no quorum before the next one is tried: longer than an
/// election.
const QUORUM_PATIENCE: Duration = Duration::from_secs(2);
/// Least time between two changes of relay for that reason: while no control host has a quorum, the
/// hosts must not wander over all of them.
const STAY_AT_LEAST: Duration = Duration::from_secs(5);
/// Time between questions for the confirmed configuration while the group has no quorum.
const CONFIRM_AGAIN: Duration = Duration::from_millis(500);

/// What a daemon learns from its relay.
#[derive(Debug)]
pub enum RelayNews {
    /// Hosts have changed: those that are new or changed, and those that are gone.
    Hosts {
        /// New or changed.
        changed: Vec<HostRecord>,
        /// Gone.
        gone: Vec<HostName>,
    },
    /// A batch of service was applied.
    ServiceApplied(u64),
    /// Totals of service elsewhere.
    Totals(Vec<(AccountName, ServiceUnits)>),
    /// A proposal was answered.
    Proposed {
        /// Which.
        id: u64,
        /// The reply of the state machine.
        reply: Result<Vec<u8>, ProposeError>,
    },
    /// A newer configuration is in force.
    Config(ConfigUpdate),
}

/// A configuration that came into force.
#[derive(Debug, Clone)]
pub struct ConfigUpdate(pub Arc<ConfigIndex>);

#[derive(Debug)]
struct Current {
    link: LinkId,
    tx: LinkTx,
}

/// The relay connection of one daemon; owned by its actor.
pub struct RelayClient {
    cx: HostCx,
    relays: Vec<ControlAddress>,
    at: usize,
    dial: Option<DialHandle>,
    dialed_since: Duration,
    current: Option<Current>,
    directory: BTreeMap<HostName, HostRecord>,
    directory_version: (Option<Incarnation>, u64),
    config: Option<Arc<ConfigIndex>>,
    without_quorum: Option<Duration>,
    changed_at: Duration,
    next_id: u64,
    confirm_sent: Option<Duration>,
    heartbeat_seq: u64,
    /// Relays turned to so far.
    attach: u32,
    heartbeat_at: Duration,
}

impl RelayClient {
    /// A client that tries the relays of its own failure domain first.
    #[must_use]
    pub fn new(cx: HostCx, mut relays: Vec<ControlAddress>) -> Self {
        relays.sort_by_key(|relay| relay.domain != cx.identity.domain);
        Self {
            cx,
            relays,
            at: 0,
            dial: None,
            dialed_since: Duration::ZERO,
            current: None,
            directory: BTreeMap::new(),
            directory_version: (None, 0),
            config: None,
            without_quorum: None,
            changed_at: Duration::ZERO,
            next_id: 0,
            confirm_sent: None,
            heartbeat_seq: 0,
            attach: 0,
            heartbeat_at: Duration::ZERO,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<ConfigIndex>> {
        self.config.as_ref()
    }

    /// The number of the configuration in force; zero without one.
    #[must_use]
    pub fn config_number(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.number())
    }

    /// The connection to the relay came up.
    pub fn up(&mut self, link: LinkId, tx: LinkTx) {
        self.without_quorum = None;
        self.attach += 1;
        self.current = Some(Current { link, tx });
        self.heartbeat_at = Duration::ZERO;
        self.confirm_sent = None;
        self.directory_version = (None, 0);
    }

    /// A connection is gone.
    pub fn down(&mut self, link: LinkId, now: Duration) {
        if self
            .current
            .as_ref()
            .is_some_and(|current| current.link == link)
        {
            self.current = None;
            self.dialed_since = now;
        }
    }

    /// The connection to the relay, if there is one.
    #[must_use]
    pub fn link(&self) -> Option<LinkId> {
        self.current.as_ref().map(|current| current.link)
    }

    /// Sends a message to the relay; whether there is one.
    pub fn send(&self, message: ToRelay) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        current.tx.send(&Message::ToRelay(message)).is_ok()
    }

    /// Proposes a command; its number, or none without a relay.
    pub fn propose(&mut self, command: Vec<u8>) -> Option<u64> {
        let id = self.new_id();
        self.send(ToRelay::Propose { id, command }).then_some(id)
    }

    /// Dials, sends heartbeats and asks for the configuration, as each falls due.
    pub fn tick(&mut self, endpoint: &Endpoint, record: impl FnOnce(u64) -> HostRecord) {
        let now = self.cx.now();
        if self.current.is_none() {
            return self.look_for_relay(endpoint, now);
        }
        if self.is_cut_off(now) {
            return self.leave_relay(now);
        }
        if self.config.is_none() && self.confirm_is_due(now) {
            let id = self.new_id();
            self.send(ToRelay::ConfigConfirmed { id });
            self.confirm_sent = Some(now);
        }
        if self.heartbeat_at == Duration::ZERO || now >= self.heartbeat_at + HEARTBEAT {
            self.heartbeat(now, record);
        }
    }

    /// Sends a heartbeat at once, when something in it has changed.
    pub fn heartbeat(&mut self, now: Duration, record: impl FnOnce(u64) -> HostRecord) {
        self.heartbeat_at = now;
        self.heartbeat_seq += 1;
        let heartbeat = Heartbeat {
            seq: self.heartbeat_seq,
            started: self.cx.started_at(),
            attach: self.attach,
            record: record(self.config_number()),
            directory: self.directory_version.1,
        };
        self.send(ToRelay::Heartbeat(heartbeat));
    }

    /// Takes in a message from the relay.
    pub fn on_message(&mut self, link: LinkId, message: FromRelay) -> Option<RelayNews> {
        if self
            .current
            .as_ref()
            .is_none_or(|current| current.link != link)
        {
            return None;
        }
        match message {
            FromRelay::Directory {
                relay,
                version,
                full,
                changed,
                gone,
            } => Some(self.on_directory(relay, version, full, changed, gone)),
            FromRelay::ServiceApplied { seq } => Some(RelayNews::ServiceApplied(seq)),
            FromRelay::Totals { elsewhere } => Some(RelayNews::Totals(elsewhere)),
            FromRelay::Proposed { id, reply } => {
                self.note_quorum(reply.as_ref().err());
                Some(RelayNews::Proposed { id, reply })
            }
            FromRelay::Config(body) if self.config.is_some() => self.on_config(&body),
            FromRelay::ConfigDelta { delta, .. } => self.on_delta(&delta),
            FromRelay::ConfigConfirmed {
                config: Ok(Some(body)),
                ..
            } => self.on_config(&body),
            // A push before the first confirmed answer is not taken: the relay may be cut off and
            // behind what this host had in force before it restarted.
            FromRelay::ConfigConfirmed { config, .. } => {
                self.note_quorum(config.as_ref().err());
                None
            }
            FromRelay::Config(_) => None,
            // Answers to operators, and what only forwarding entries are told.
            FromRelay::Status { .. }
            | FromRelay::Members { .. }
            | FromRelay::Upstreams(_)
            | FromRelay::UpstreamsAlive(_)
            | FromRelay::UpstreamLeft { .. }
            | FromRelay::Fleet { .. }
            | FromRelay::Lease { .. }
            | FromRelay::ControlHosts { .. } => None,
        }
    }

    /// Notes whether the relay's group answers it.
    fn note_quorum(&mut self, error: Option<&ProposeError>) {
        if error == Some(&ProposeError::NoQuorum) {
            let now = self.cx.now();
            self.without_quorum.get_or_insert(now);
        } else {
            self.without_quorum = None;
        }
    }

    /// Whether the relay has been without a quorum for so long that another may have one.
    fn is_cut_off(&self, now: Duration) -> bool {
        let since = self.without_quorum.map(|since| now.saturating_sub(since));
        let may_change = now >= self.changed_at + STAY_AT_LEAST;
        may_change && since.is_some_and(|since| since >= QUORUM_PATIENCE)
    }

    /// Turns to the next relay: this one answers, but is cut off from its group or has lost its disk.
    fn leave_relay(&mut self, now: Duration) {
        if let Some(current) = self.current.take() {
            current.tx.close();
        }
        self.dial = None;
        self.without_quorum = None;
        self.changed_at = now;
        self.at = (self.at + 1) % self.relays.len().max(1);
    }

    fn look_for_relay(&mut self, endpoint: &Endpoint, now: Duration) {
        let patient = now < self.dialed_since + RELAY_PATIENCE;
        if self.relays.is_empty() || (self.dial.is_some() && patient) {
            return;
        }
        if self.dial.is_some() {
            self.at = (self.at + 1) % self.relays.len();
        }
        let relay = &self.relays[self.at];
        let peer = PeerId {
            role: Role::Control,
            host: relay.host.clone(),
        };
        self.dial = Some(endpoint.dial(relay.address, peer));
        self.dialed_since = now;
    }

    fn confirm_is_due(&self, now: Duration) -> bool {
        self.confirm_sent
            .is_none_or(|sent| now >= sent + CONFIRM_AGAIN)
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
        mut gone: Vec<HostName>,
    ) -> RelayNews {
        if full {
            let stays = |host: &HostName| changed.iter().any(|record| record.host == *host);
            gone.extend(self.directory.keys().filter(|host| !stays(host)).cloned());
        }
        self.directory_version = (Some(relay), version);
        for record in &changed {
            self.directory.insert(record.host.clone(), record.clone());
        }
        for host in &gone {
            self.directory.remove(host);
        }
        RelayNews::Hosts { changed, gone }
    }

    fn on_config(&mut self, body: &ConfigBody) -> Option<RelayNews> {
        let manifest = match Manifest::from_body(&body.body) {
            Ok(manifest) => manifest,
            Err(e) => {
                self.cx.log(
                    &events::CONFIG_REFUSED,
                    &[("number", &body.number), ("cause", &e)],
                );
                return None;
            }
        };
        self.put_in_force(manifest)
    }

    /// A delta that does not fit is left: the relay sends the whole when this host does not report
    /// the new number.
    fn on_delta(&mut self, delta: &[u8]) -> Option<RelayNews> {
        let base = self.config.as_ref()?;
        let delta: ManifestDelta = postcard::from_bytes(delta).ok()?;
        let manifest = delta.apply(base.manifest()).ok()?;
        self.put_in_force(manifest)
    }

    fn put_in_force(&mut self, manifest: Manifest) -> Option<RelayNews> {
        if manifest.number <= self.config_number() {
            return None;
        }
        let config = Arc::new(ConfigIndex::new(manifest));
        assert!(
            config.number() > self.config_number(),
            "a configuration goes back"
        );
        self.config = Some(Arc::clone(&config));
        self.cx
            .log(&events::CONFIG_IN_FORCE, &[("number", &config.number())]);
        self.heartbeat_at = Duration::ZERO;
        Some(RelayNews::Config(ConfigUpdate(config)))
    }
}
