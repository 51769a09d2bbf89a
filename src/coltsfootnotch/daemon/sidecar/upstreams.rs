//! What a sidecar knows of its upstreams besides their slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootnotch_chart::{Chart, Machine, UpstreamEvent, UpstreamState};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::announce::{Announcement, CacheOp, Capabilities};

/// One upstream; its life follows the chart `upstream`.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    pub(super) address: SocketAddr,
    pub(super) capabilities: Capabilities,
    last_cache_event: u64,
    machine: Machine,
}

impl Upstream {
    fn fire(&mut self, event: UpstreamEvent) {
        if let Err(e) = self.machine.fire(event) {
            panic!("upstream at {}: {e}", self.address);
        }
    }
}

/// Upstreams by name.
#[derive(Debug)]
pub(super) struct Upstreams {
    chart: Arc<Chart>,
    known: BTreeMap<UpstreamName, Upstream>,
}

/// What an announcement changed.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Announced {
    New,
    Leaving,
    Same,
    /// There are as many upstreams as the sidecar takes.
    TooMany,
}

impl Upstreams {
    pub(super) fn new(chart: Arc<Chart>) -> Self {
        Self {
            chart,
            known: BTreeMap::new(),
        }
    }

    /// Takes in an announcement.
    pub(super) fn announce(&mut self, announcement: &Announcement, most: usize) -> Announced {
        let is_new = !self.known.contains_key(&announcement.name);
        if is_new && self.known.len() >= most {
            return Announced::TooMany;
        }
        let machine = Machine::new(&self.chart);
        let upstream = self
            .known
            .entry(announcement.name.clone())
            .or_insert(Upstream {
                address: announcement.address,
                capabilities: announcement.capabilities,
                last_cache_event: 0,
                machine,
            });
        upstream.address = announcement.address;
        upstream.capabilities = announcement.capabilities;
        let was_leaving = upstream.machine.is(UpstreamState::Leaving);
        upstream.fire(match announcement.leaving {
            true => UpstreamEvent::AnnouncedLeaving,
            false => UpstreamEvent::Announced,
        });
        match (is_new, announcement.leaving && !was_leaving) {
            (_, true) => Announced::Leaving,
            (true, false) => Announced::New,
            (false, false) => Announced::Same,
        }
    }

    /// Moves an upstream on.
    pub(super) fn fire(&mut self, name: &UpstreamName, event: UpstreamEvent) {
        if let Some(upstream) = self.known.get_mut(name) {
            upstream.fire(event);
        }
    }

    /// Prefixes that were cached since the last announcement; late and doubled events are skipped.
    pub(super) fn cached(&mut self, announcement: &Announcement) -> Vec<u64> {
        let Some(upstream) = self.known.get_mut(&announcement.name) else {
            return vec![];
        };
        let last = upstream.last_cache_event;
        let events = announcement.cache_events.iter();
        let new = events.filter(|event| event.seq > last);
        let cached = new.clone().filter(|event| event.op == CacheOp::Add);
        let digests = cached.filter_map(|event| u64::from_str_radix(&event.prefix, 16).ok());
        let digests = digests.collect();
        upstream.last_cache_event = new.map(|event| event.seq).max().unwrap_or(last);
        digests
    }

    pub(super) fn get(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.known.get(name)
    }

    /// Forgets upstreams that are no longer listed; the names of those that fell silent unannounced.
    pub(super) fn retain(&mut self, listed: impl Fn(&UpstreamName) -> bool) -> Vec<UpstreamName> {
        let mut silent = Vec::new();
        self.known.retain(|name, upstream| {
            if listed(name) {
                return true;
            }
            let known_down = upstream.machine.is(UpstreamState::Unreachable);
            upstream.fire(UpstreamEvent::AnnouncementExpired);
            if !known_down && upstream.machine.is(UpstreamState::Expired) {
                silent.push(name.clone());
            }
            false
        });
        silent
    }
}
