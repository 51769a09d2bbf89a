//! Table of the upstreams of a sidecar: addresses, capabilities and states, but not their slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootnotch_chart::{Chart, Machine, UpstreamEvent, UpstreamState};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::announce::{Announcement, CacheOp, Capabilities};

/// One upstream; its state machine follows the chart `upstream`.
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
pub(super) struct UpstreamTable {
    chart: Arc<Chart>,
    by_name: BTreeMap<UpstreamName, Upstream>,
}

/// What an announcement changed.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum AnnouncementEffect {
    Added,
    StartedLeaving,
    Unchanged,
    /// The upstream was not added, since the table has reached its limit.
    LimitReached,
}

impl UpstreamTable {
    pub(super) fn new(chart: Arc<Chart>) -> Self {
        Self {
            chart,
            by_name: BTreeMap::new(),
        }
    }

    /// Adds or updates an upstream; adds none beyond `limit`.
    pub(super) fn apply_announcement(
        &mut self,
        announcement: &Announcement,
        limit: usize,
    ) -> AnnouncementEffect {
        let is_new = !self.by_name.contains_key(&announcement.name);
        if is_new && self.by_name.len() >= limit {
            return AnnouncementEffect::LimitReached;
        }
        let machine = Machine::new(&self.chart);
        let upstream = self
            .by_name
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
            (_, true) => AnnouncementEffect::StartedLeaving,
            (true, false) => AnnouncementEffect::Added,
            (false, false) => AnnouncementEffect::Unchanged,
        }
    }

    /// Applies an event to the state machine of an upstream.
    pub(super) fn fire(&mut self, name: &UpstreamName, event: UpstreamEvent) {
        if let Some(upstream) = self.by_name.get_mut(name) {
            upstream.fire(event);
        }
    }

    /// Returns the digests of the prefixes cached since the previous announcement. Late and
    /// duplicate events are skipped.
    pub(super) fn new_cached_prefixes(&mut self, announcement: &Announcement) -> Vec<u64> {
        let Some(upstream) = self.by_name.get_mut(&announcement.name) else {
            return vec![];
        };
        let last = upstream.last_cache_event;
        let events = announcement.cache_events.iter();
        let new = events.filter(|event| event.seq > last);
        let added = new.clone().filter(|event| event.op == CacheOp::Add);
        let digests = added.filter_map(|event| u64::from_str_radix(&event.prefix, 16).ok());
        let digests = digests.collect();
        upstream.last_cache_event = new.map(|event| event.seq).max().unwrap_or(last);
        digests
    }

    pub(super) fn get(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.by_name.get(name)
    }

    /// Removes the upstreams for which `is_listed` is false. Returns the names of those that fell
    /// silent without having announced that they leave.
    pub(super) fn retain(
        &mut self,
        is_listed: impl Fn(&UpstreamName) -> bool,
    ) -> Vec<UpstreamName> {
        let mut silent = Vec::new();
        self.by_name.retain(|name, upstream| {
            if is_listed(name) {
                return true;
            }
            let was_unreachable = upstream.machine.is(UpstreamState::Unreachable);
            upstream.fire(UpstreamEvent::AnnouncementExpired);
            if !was_unreachable && upstream.machine.is(UpstreamState::Expired) {
                silent.push(name.clone());
            }
            false
        });
        silent
    }
}
