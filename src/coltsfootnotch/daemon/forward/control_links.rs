//! Connections to the control hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fabric::{Endpoint, LinkId, LinkTx, PeerId};
use coltsfootnotch_forward::control_host::ControlHostSelector;
use coltsfootnotch_types::HostName;
use coltsfootnotch_wire::{Message, ToRelay};

use crate::daemon::control_dialer::ControlDialer;

/// Time between two lease requests. Several fit into a lease, so that it survives a lost response.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a lease request, after which the next control host is selected. A response takes some
/// milliseconds, and longer during an election.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after the last timeout after which the preferred control host is selected again. If it still does not
/// answer, that costs a timeout.
const RETURN_AFTER: Duration = Duration::from_secs(5);

/// Number of addresses reported by control hosts above which they are cleared.
const MAX_REPORTED: usize = 64;

/// The connection to a control host.
struct Link {
    tx: LinkTx,
    peer: PeerId,
}

/// A lease request without a response yet.
struct PendingRequest {
    id: u64,
    sent_at: Duration,
}

/// Connections to all control hosts: each forwards the announcements that it received from
/// upstreams, and any of them may have the newest configuration.
///
/// One of them is selected for lease requests and for the load of the other entries. When it
/// doesn't respond in time, the next one is selected.
pub(super) struct ControlLinks {
    dialer: ControlDialer,
    seeds: BTreeSet<SocketAddr>,
    reported: BTreeSet<SocketAddr>,
    links: BTreeMap<LinkId, Link>,
    selector: ControlHostSelector<LinkId>,
    /// The control host that got the last load report.
    reports_to: Option<LinkId>,
    pending: Option<PendingRequest>,
    request_due: Duration,
    /// When the preferred control host is selected again; none if no other was selected since.
    return_due: Option<Duration>,
    last_id: u64,
}

impl ControlLinks {
    pub(super) fn new(seeds: &[SocketAddr], selector: ControlHostSelector<LinkId>) -> Self {
        Self {
            dialer: ControlDialer::default(),
            seeds: seeds.iter().copied().collect(),
            reported: BTreeSet::new(),
            links: BTreeMap::new(),
            selector,
            reports_to: None,
            pending: None,
            request_due: Duration::ZERO,
            return_due: None,
            last_id: 0,
        }
    }

    pub(super) fn set_seeds(&mut self, endpoint: &Endpoint, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        self.dial(endpoint);
    }

    /// Adds addresses that a control host reported. Those reported earlier are kept up to a limit,
    /// since a partitioned control host reports only itself.
    pub(super) fn add_reported(&mut self, endpoint: &Endpoint, addresses: &[SocketAddr]) {
        if self.reported.len() > MAX_REPORTED {
            self.reported.clear();
        }
        self.reported.extend(addresses);
        self.dial(endpoint);
    }

    pub(super) fn dial(&mut self, endpoint: &Endpoint) {
        let targets: BTreeSet<_> = self.seeds.union(&self.reported).copied().collect();
        self.dialer.set_targets(endpoint, &targets);
    }

    pub(super) fn on_link_up(&mut self, link: LinkId, peer: PeerId, tx: LinkTx) {
        self.links.insert(link, Link { tx, peer });
    }

    pub(super) fn on_link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
        if self.selector.remove_link(link) {
            self.reset_request();
        }
    }

    /// Adds a control host that has a replicated log to those that can be selected. Returns whether it is
    /// selected now.
    pub(super) fn add_log_host(&mut self, link: LinkId, domain: &str) -> bool {
        let Some(Link { peer, .. }) = self.links.get(&link) else {
            return false;
        };
        let is_selected = self.selector.add_link(peer.host.as_str(), domain, link);
        if is_selected {
            self.reset_request();
        }
        is_selected
    }

    /// Drops the pending request, so that the newly selected control host gets one immediately.
    fn reset_request(&mut self) {
        self.pending = None;
        self.request_due = Duration::ZERO;
    }

    /// The selected control host.
    pub(super) fn selected(&self) -> Option<(LinkId, &PeerId)> {
        let link = self.selector.selected()?;
        Some((link, &self.links.get(&link)?.peer))
    }

    /// Whether the control host got the last load report, so that it sends the load of the fleet.
    pub(super) fn reports_to(&self, link: LinkId) -> bool {
        self.reports_to == Some(link)
    }

    /// All connections.
    pub(super) fn ids(&self) -> impl Iterator<Item = LinkId> {
        self.links.keys().copied()
    }

    pub(super) fn count(&self) -> usize {
        self.links.len()
    }

    /// Requests a lease of the configuration with the number `have`, when due.
    pub(super) fn request_lease(&mut self, now: Duration, current: u64) {
        if let Some(pending) = &self.pending
            && now >= pending.sent_at + REQUEST_TIMEOUT
        {
            self.selector.on_timeout();
            self.return_due = Some(now + RETURN_AFTER);
            self.reset_request();
        }
        if self.return_due.take_if(|due| now >= *due).is_some() && self.selector.return_to_first() {
            self.reset_request();
        }
        if self.pending.is_some() || now < self.request_due {
            return;
        }
        let Some(link) = self.selector.selected() else {
            return;
        };
        self.last_id += 1;
        let id = self.last_id;
        self.pending = Some(PendingRequest { id, sent_at: now });
        self.request_due = now + REQUEST_INTERVAL;
        self.send(link, ToRelay::Lease { id, current });
    }

    /// Handles the response to a lease request; returns when the request was sent, if it is the
    /// pending one.
    pub(super) fn on_lease_response(&mut self, id: u64) -> Option<Duration> {
        let pending = self.pending.take_if(|pending| pending.id == id)?;
        Some(pending.sent_at)
    }

    /// Sends a load report to the selected control host. The one that got the last report is told if it is
    /// another one.
    pub(super) fn send_load(&mut self, message: ToRelay) {
        let Some(link) = self.selector.selected() else {
            return;
        };
        let previous = self.reports_to.replace(link);
        if let Some(previous) = previous.filter(|previous| *previous != link) {
            self.send(previous, ToRelay::LoadElsewhere);
        }
        self.send(link, message);
    }

    /// Sends a message to the control host that got the last load report.
    pub(super) fn send_to_receiver(&self, message: ToRelay) {
        if let Some(link) = self.reports_to {
            self.send(link, message);
        }
    }

    /// The control host of a connection.
    pub(super) fn host(&self, link: LinkId) -> Option<&HostName> {
        Some(&self.links.get(&link)?.peer.host)
    }

    /// Whether the next load report goes to another control host than the last one.
    pub(super) fn changes_receiver(&self) -> bool {
        self.selector.selected() != self.reports_to
    }

    /// Sends a message to all control hosts.
    pub(super) fn send_to_all(&self, message: &ToRelay) {
        for link in self.links.keys() {
            self.send(*link, message.clone());
        }
    }

    pub(super) fn send(&self, link: LinkId, message: ToRelay) {
        let Some(Link { tx, .. }) = self.links.get(&link) else {
            return;
        };
        if let Err(e) = tx.send(&Message::ToRelay(message)) {
            // A report can't exceed the size of a frame, except by a bug.
            log::error!("a message to a control host can't be encoded: {e}");
            tx.close();
        }
    }
}
