//! A control host that is told nothing but a few addresses of others.
//!
//! Where nobody lists the control hosts, they find each other: each dials the seeds of its settings
//! and every control host that others are connected to. The group is founded once, by one of the seeds
//! ([`founding`]); after that the leader admits and replaces members by itself ([`upkeep`]).
//! Forwarding entries and upstreams are served here as well, since no sidecar stands between.

mod call;
mod contact;
mod finding;
mod followers;
pub mod founding;
pub mod members;
mod upkeep;
mod upstreams;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_forward::registry::UpstreamRegistry;
use coltsfootnotch_wire::{FromRelay, UpstreamSign};
use serde::{Deserialize, Serialize};

pub(super) use self::call::Calls;
pub use self::call::{Call, CallReply};
pub use self::contact::Contact;
pub use self::finding::Finding;
pub(super) use self::followers::{Follower, Followers};
use self::founding::SeededFounding;

/// What a control host is told that has to find the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seeds {
    /// Fleet addresses of some control hosts, perhaps its own among them.
    pub addresses: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time. A host that joins later, or has lost its
    /// disk, never founds a group.
    pub first_start: bool,
}

/// What a control host that finds the others says of itself besides its membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeededHello {
    /// Its fleet address.
    pub address: SocketAddr,
    /// Whether its settings say that the fleet starts for the first time.
    pub first_start: bool,
    /// The seeds of its settings, sorted.
    pub seeds: Vec<SocketAddr>,
    /// Whether it keeps a log; without a disk it can't.
    pub keeps_log: bool,
    /// Fleet addresses of the control hosts that it is connected to.
    pub connected: Vec<SocketAddr>,
}

/// The part of a control host that exists only where hosts find each other.
pub(super) struct Seeded {
    pub(super) finding: Finding,
    pub(super) founding: SeededFounding,
    pub(super) followers: Followers,
    pub(super) calls: Calls,
    pub(super) registry: UpstreamRegistry,
    /// When it is told next why there is no group yet.
    pub(super) waiting_due: Duration,
    pub(super) contact: Contact,
    pub(super) fleet_due: Duration,
    /// Upstreams that said no more than that they live, since entries were told.
    pub(super) alive: Vec<UpstreamSign>,
    pub(super) alive_due: Duration,
}

impl Seeded {
    pub(super) fn new(now: Duration, finding: Finding) -> Self {
        Self {
            finding,
            founding: SeededFounding::default(),
            followers: Followers::default(),
            calls: Calls::default(),
            registry: UpstreamRegistry::default(),
            waiting_due: now + upkeep::SAY_WAITING_EVERY,
            contact: Contact::default(),
            fleet_due: now,
            alive: Vec::new(),
            alive_due: now,
        }
    }

    /// Where the control hosts are that keep a log, for forwarding entries.
    pub(super) fn control_hosts(&self) -> FromRelay {
        FromRelay::ControlHosts {
            keeps_log: self.finding.keeps_log(),
            addresses: self.finding.keepers(),
        }
    }
}
