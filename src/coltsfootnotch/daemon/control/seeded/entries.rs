//! Forwarding entries that are connected to this control host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_types::{DomainName, HostName};
use coltsfootnotch_wire::FromRelay;

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
    /// By failure domain; increases when an entry of it starts or stops taking connections over.
    neighbours_versions: BTreeMap<DomainName, u64>,
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
        let accepting = removed.filter(|entry| entry.accepts_handover);
        if let Some(point) = accepting.and_then(|entry| entry.handover) {
            self.increase_neighbours_version(&point.domain);
        }
    }

    fn increase_neighbours_version(&mut self, domain: &DomainName) {
        *self.neighbours_versions.entry(domain.clone()).or_default() += 1;
    }

    /// The connections of an entry's host.
    pub(in crate::daemon::control) fn links_of(
        &self,
        host: &HostName,
    ) -> impl Iterator<Item = LinkId> {
        let of_host = self.links.iter().filter(move |(_, e)| e.host == *host);
        of_host.map(|(link, _)| *link)
    }

    /// All connected entries.
    pub(in crate::daemon::control) fn links(&self) -> impl Iterator<Item = LinkId> {
        self.links.keys().copied()
    }

    /// All connected entries with their state.
    pub(in crate::daemon::control) fn all(&self) -> impl Iterator<Item = &ConnectedEntry> {
        self.links.values()
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
        let Some(entry) = self.links.get_mut(&link) else {
            return;
        };
        let is_same = entry.accepts_handover == accepts && entry.handover.as_ref() == Some(&point);
        let domain = point.domain.clone();
        entry.handover = Some(point);
        let accepted = std::mem::replace(&mut entry.accepts_handover, accepts);
        if !is_same && (accepts || accepted) {
            self.increase_neighbours_version(&domain);
        }
    }

    /// The neighbours of an entry, if it doesn't have the current ones; records that they were sent.
    pub(in crate::daemon::control) fn take_neighbours(
        &mut self,
        link: LinkId,
    ) -> Option<FromRelay> {
        let entry = self.links.get_mut(&link)?;
        let domain = entry.handover.as_ref()?.domain.clone();
        let version = self.neighbours_versions.get(&domain).copied().unwrap_or(0);
        if std::mem::replace(&mut entry.neighbours_sent, version) == version {
            return None;
        }
        let others = self
            .links
            .iter()
            .filter(|(other, entry)| **other != link && entry.accepts_handover);
        let points = others.filter_map(|(_, entry)| entry.handover.as_ref());
        let near = points.filter(|point| point.domain == domain);
        let addresses = near.map(|point| point.address).collect();
        Some(FromRelay::Neighbours { addresses })
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

#[cfg(test)]
#[path = "entries_tests.rs"]
mod tests;
