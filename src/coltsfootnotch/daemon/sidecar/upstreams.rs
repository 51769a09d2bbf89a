//! What a sidecar knows of its upstreams besides their slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::announce::{Announcement, CacheOp, Capabilities};

/// One upstream.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    pub(super) address: SocketAddr,
    pub(super) capabilities: Capabilities,
    pub(super) leaving: bool,
    last_cache_event: u64,
}

/// Upstreams by name.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
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
    /// Takes in an announcement.
    pub(super) fn announce(&mut self, announcement: &Announcement, most: usize) -> Announced {
        let known = self.known.get(&announcement.name);
        if known.is_none() && self.known.len() >= most {
            return Announced::TooMany;
        }
        let change = match known {
            None => Announced::New,
            Some(known) if announcement.leaving && !known.leaving => Announced::Leaving,
            Some(_) => Announced::Same,
        };
        let last_cache_event = known.map_or(0, |known| known.last_cache_event);
        let upstream = Upstream {
            address: announcement.address,
            capabilities: announcement.capabilities,
            leaving: announcement.leaving,
            last_cache_event,
        };
        self.known.insert(announcement.name.clone(), upstream);
        change
    }

    /// Prefixes that were cached since the last announcement; late and doubled events are skipped.
    pub(super) fn cached(&mut self, announcement: &Announcement) -> Vec<u64> {
        let Some(upstream) = self.known.get_mut(&announcement.name) else {
            return vec![];
        };
        let last = upstream.last_cache_event;
        let new = announcement
            .cache_events
            .iter()
            .filter(|event| event.seq > last);
        let cached = new.clone().filter(|event| event.op == CacheOp::Add);
        let cached = cached
            .filter_map(|event| u64::from_str_radix(&event.prefix, 16).ok())
            .collect();
        upstream.last_cache_event = new.map(|event| event.seq).max().unwrap_or(last);
        cached
    }

    pub(super) fn get(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.known.get(name)
    }

    /// Forgets upstreams that are no longer listed; their names.
    pub(super) fn retain(&mut self, listed: impl Fn(&UpstreamName) -> bool) -> Vec<UpstreamName> {
        let gone: Vec<_> = self
            .known
            .keys()
            .filter(|name| !listed(name))
            .cloned()
            .collect();
        self.known.retain(|name, _| listed(name));
        gone
    }
}
