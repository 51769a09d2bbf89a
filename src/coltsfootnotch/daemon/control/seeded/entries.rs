//! Forwarding entries that are connected to this control host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::load::FleetLoad;
use coltsfootnotch_types::{DomainName, HostName};
use coltsfootnotch_wire::{AccountDemand, EntryLoadReport, FromRelay, SegmentReport};

use super::account_usage::AccountUsage;

/// Time after a query for which the entry counts as having this control host selected: two intervals of
/// its queries.
const SELECTED_FOR: Duration = Duration::from_secs(1);

/// Time after which a configuration is sent again to an entry that still reports the earlier one.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// A query whether a configuration is the newest.
#[derive(Debug, Clone, Copy)]
pub(in crate::daemon::control) struct LeaseQuery {
    pub(in crate::daemon::control) link: LinkId,
    pub(in crate::daemon::control) id: u64,
    pub(in crate::daemon::control) current: u64,
}

/// A connected forwarding entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::daemon::control) struct ConnectedEntry {
    pub(in crate::daemon::control) host: HostName,
    /// The configuration that it last reported as in force; zero before its first query.
    pub(in crate::daemon::control) config: u64,
    /// When it last queried this host; it queries only the control host that it has selected.
    asked_at: Option<Duration>,
    /// The configuration that was last sent to it.
    sent: Option<SentConfig>,
    /// Where it takes connections over from its neighbours.
    handover: Option<HandoverPoint>,
    accepts_handover: bool,
    /// Version of the neighbours that were last sent to it; zero for none.
    neighbours_sent: u64,
}

/// Where an entry takes connections over from the other entries of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::daemon::control) struct HandoverPoint {
    pub(in crate::daemon::control) domain: DomainName,
    pub(in crate::daemon::control) address: SocketAddr,
}

/// A configuration that was sent to an entry, as a patch of the one with the number `from`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SentConfig {
    from: u64,
    number: u64,
    at: Duration,
}

impl ConnectedEntry {
    /// Whether the entry has this control host selected.
    fn is_selecting(&self, now: Duration) -> bool {
        self.asked_at.is_some_and(|at| now < at + SELECTED_FOR)
    }

    /// Whether the configuration `number` has to be sent now.
    fn needs_config(&self, now: Duration, number: u64) -> bool {
        let is_sent = self.sent.is_some_and(|sent| {
            (sent.from, sent.number) == (self.config, number) && now < sent.at + RESEND_AFTER
        });
        self.config < number && !is_sent
    }

    /// Records that the configuration `number` is sent.
    fn record_sent(&mut self, now: Duration, number: u64) {
        self.sent = Some(SentConfig {
            from: self.config,
            number,
            at: now,
        });
    }
}

/// The connected forwarding entries.
///
/// Every entry queries twice a second whether its configuration is the newest. One read of the log
/// answers all queries received before it started, so the number of reads doesn't grow with the number
/// of entries.
#[derive(Default)]
pub(in crate::daemon::control) struct ConnectedEntries {
    links: BTreeMap<LinkId, ConnectedEntry>,
    /// Entries that subscribe to the load of the others.
    subscribers: BTreeSet<LinkId>,
    pub(in crate::daemon::control) fleet: FleetLoad<LinkId>,
    usage: AccountUsage,
    /// Increases when an entry starts or stops taking connections over.
    neighbours_version: u64,
    queued: Vec<LeaseQuery>,
    in_read: Option<Vec<LeaseQuery>>,
}

impl ConnectedEntries {
    pub(in crate::daemon::control) fn add(&mut self, link: LinkId, host: HostName) {
        let entry = ConnectedEntry {
            host,
            config: 0,
            asked_at: None,
            sent: None,
            handover: None,
            accepts_handover: false,
            neighbours_sent: 0,
        };
        self.links.insert(link, entry);
    }

    pub(in crate::daemon::control) fn remove(&mut self, link: LinkId) {
        let removed = self.links.remove(&link);
        if removed.is_some_and(|entry| entry.accepts_handover) {
            self.neighbours_version += 1;
        }
        self.subscribers.remove(&link);
        self.fleet.remove(&link);
    }

    /// All connected entries.
    pub(in crate::daemon::control) fn links(&self) -> impl Iterator<Item = LinkId> {
        self.links.keys().copied()
    }

    /// All connected entries with their state.
    pub(in crate::daemon::control) fn all(&self) -> impl Iterator<Item = &ConnectedEntry> {
        self.links.values()
    }

    pub(in crate::daemon::control) fn record_load(
        &mut self,
        now: Duration,
        link: LinkId,
        is_selected: bool,
        load: EntryLoadReport,
    ) {
        self.fleet.record(now, link, load);
        if is_selected {
            self.subscribers.insert(link);
        } else {
            self.subscribers.remove(&link);
        }
    }

    /// Sends each subscriber the load of the other entries by `send`, and its neighbours if they have
    /// changed, and starts a new period; returns the
    /// number of upstream loads sent.
    ///
    /// Builds one message at a time: all together take some 100 bytes for each pair of entry and upstream.
    pub(in crate::daemon::control) fn send_fleet_load(
        &mut self,
        now: Duration,
        lists_all_upstreams: bool,
        segments: &SegmentReport,
        send: impl Fn(LinkId, FromRelay),
    ) -> usize {
        let entries = self.fleet.entries(now);
        let totals = self.fleet.totals(now);
        self.usage.record(totals.accounts());
        let mut sent = 0;
        for link in &self.subscribers {
            if let Some(message) = neighbours(&mut self.links, *link, self.neighbours_version) {
                send(*link, message);
            }
            let load = without_evidence(self.fleet.excluding(now, &totals, link));
            sent += load.upstreams.len();
            let message = FromRelay::FleetLoad {
                entries,
                load: Box::new(load),
                lists_all_upstreams,
                segments: segments.clone(),
            };
            send(*link, message);
        }
        self.fleet.start_period(now);
        sent
    }

    /// The accounts that got less than they asked for, at intervals and only at a control host that
    /// entries have selected: the others get the same reports later.
    pub(in crate::daemon::control) fn take_limited(&mut self, now: Duration) -> Vec<AccountDemand> {
        let limited = self.usage.take_limited(now);
        if self.subscribers.is_empty() {
            return Vec::new();
        }
        limited
    }

    /// The entries that have this control host selected and need the configuration `number`, each with
    /// what `message` returns for the one that it has; records that it was sent to them.
    pub(in crate::daemon::control) fn take_needing_config(
        &mut self,
        now: Duration,
        number: u64,
        mut message: impl FnMut(u64) -> Option<FromRelay>,
    ) -> Vec<(LinkId, FromRelay)> {
        let links = self.links.iter_mut();
        let needing =
            links.filter(|(_, entry)| entry.is_selecting(now) && entry.needs_config(now, number));
        needing
            .filter_map(|(link, entry)| {
                let message = message(entry.config)?;
                entry.record_sent(now, number);
                Some((*link, message))
            })
            .collect()
    }

    /// Records whether an entry takes connections over.
    pub(in crate::daemon::control) fn set_handover(
        &mut self,
        link: LinkId,
        point: HandoverPoint,
        accepts: bool,
    ) {
        if let Some(entry) = self.links.get_mut(&link) {
            entry.handover = Some(point);
            entry.accepts_handover = accepts;
            self.neighbours_version += 1;
        }
    }

    /// Queues a query; returns whether the caller has to start a read.
    pub(in crate::daemon::control) fn queue_query(
        &mut self,
        now: Duration,
        query: LeaseQuery,
    ) -> bool {
        if let Some(entry) = self.links.get_mut(&query.link) {
            entry.config = query.current;
            entry.asked_at = Some(now);
        }
        self.queued.push(query);
        self.start_read()
    }

    /// Starts a read for all queued queries, unless one is in progress; returns whether it did.
    pub(in crate::daemon::control) fn start_read(&mut self) -> bool {
        if self.in_read.is_some() || self.queued.is_empty() {
            return false;
        }
        self.in_read = Some(std::mem::take(&mut self.queued));
        true
    }

    /// Finishes the read; returns the queries that it answers.
    pub(in crate::daemon::control) fn finish_read(&mut self) -> Vec<LeaseQuery> {
        self.in_read.take().unwrap_or_default()
    }
}

/// A report for entries, which get the conclusions from the evidence on segments only.
fn without_evidence(load: EntryLoadReport) -> EntryLoadReport {
    EntryLoadReport {
        crash_suspects: Vec::new(),
        answered_services: Vec::new(),
        answered_segments: Vec::new(),
        sound_segments: Vec::new(),
        refused_segments: Vec::new(),
        ..load
    }
}

/// The neighbours of an entry, if it doesn't have this version of them; records that it was sent.
fn neighbours(
    links: &mut BTreeMap<LinkId, ConnectedEntry>,
    link: LinkId,
    version: u64,
) -> Option<FromRelay> {
    let entry = links.get_mut(&link)?;
    let domain = entry.handover.as_ref()?.domain.clone();
    if std::mem::replace(&mut entry.neighbours_sent, version) == version {
        return None;
    }
    let others = links
        .iter()
        .filter(|(other, entry)| **other != link && entry.accepts_handover);
    let points = others.filter_map(|(_, entry)| entry.handover.as_ref());
    let near = points.filter(|point| point.domain == domain);
    let addresses = near.map(|point| point.address).collect();
    Some(FromRelay::Neighbours { addresses })
}

#[cfg(test)]
#[path = "entries_tests.rs"]
mod tests;
