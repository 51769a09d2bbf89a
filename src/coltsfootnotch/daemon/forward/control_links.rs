//! Connections to the control hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fabric::{Endpoint, LinkId, LinkTx, PeerId};
use coltsfootnotch_forward::control_host::ControlHostSelector;
use coltsfootnotch_wire::{Message, ToRelay};

use crate::daemon::control_dials::ControlDials;

/// Between two questions whether the configuration is the newest. Several fit into the shortest lease
/// that is of use, so that one lost answer costs nothing.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Time after which an unanswered question is asked of the next control host. An answer takes some
/// milliseconds; during an election nobody can give one.
const ANSWER_WITHIN: Duration = Duration::from_millis(400);

/// Most addresses remembered from control hosts.
const MAX_TOLD: usize = 64;

/// A control host that is connected.
struct Link {
    tx: LinkTx,
    peer: PeerId,
}

/// A question that is not answered yet.
struct Open {
    id: u64,
    asked: Duration,
}

/// Connections to the control hosts, all of them: each tells of the upstreams that announced
/// themselves to it, and which of them has the newest configuration can't be known.
///
/// One of them is followed: it alone is asked whether the configuration is the newest and tells what
/// the other entries do. When it does not answer, the next one is followed.
pub(super) struct ControlLinks {
    dials: ControlDials,
    seeds: BTreeSet<SocketAddr>,
    told: BTreeSet<SocketAddr>,
    links: BTreeMap<LinkId, Link>,
    following: ControlHostSelector<LinkId>,
    open: Option<Open>,
    ask_due: Duration,
    last_id: u64,
}

impl ControlLinks {
    pub(super) fn new(seeds: &[SocketAddr]) -> Self {
        Self {
            dials: ControlDials::default(),
            seeds: seeds.iter().copied().collect(),
            told: BTreeSet::new(),
            links: BTreeMap::new(),
            following: ControlHostSelector::default(),
            open: None,
            ask_due: Duration::ZERO,
            last_id: 0,
        }
    }

    pub(super) fn set_seeds(&mut self, endpoint: &Endpoint, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        self.dial(endpoint);
    }

    /// A control host told where the control hosts are. What others told before is kept, up to a bound:
    /// one that is cut off from the rest knows only itself.
    pub(super) fn set_told(&mut self, endpoint: &Endpoint, addresses: &[SocketAddr]) {
        if self.told.len() > MAX_TOLD {
            self.told.clear();
        }
        self.told.extend(addresses);
        self.dial(endpoint);
    }

    pub(super) fn dial(&mut self, endpoint: &Endpoint) {
        let wanted: BTreeSet<_> = self.seeds.union(&self.told).copied().collect();
        self.dials.keep(endpoint, &wanted);
    }

    pub(super) fn up(&mut self, link: LinkId, peer: PeerId, tx: LinkTx) {
        if self.following.add_link(peer.host.as_str(), link) {
            self.ask_anew();
        }
        self.links.insert(link, Link { tx, peer });
    }

    pub(super) fn down(&mut self, link: LinkId) {
        self.links.remove(&link);
        if self.following.remove_link(link) {
            self.ask_anew();
        }
    }

    /// The control host keeps no log, and can't be followed.
    pub(super) fn do_not_follow(&mut self, link: LinkId) {
        if self.following.remove_link(link) {
            self.ask_anew();
        }
    }

    /// Another control host is followed: it is asked at once.
    fn ask_anew(&mut self) {
        self.open = None;
        self.ask_due = Duration::ZERO;
    }

    /// The control host that is followed.
    pub(super) fn followed(&self) -> Option<(LinkId, &PeerId)> {
        let link = self.following.selected()?;
        Some((link, &self.links.get(&link)?.peer))
    }

    pub(super) fn count(&self) -> usize {
        self.links.len()
    }

    /// Asks whether the configuration `have` is the newest, when that is due.
    pub(super) fn ask(&mut self, now: Duration, have: u64) {
        if let Some(open) = &self.open
            && now >= open.asked + ANSWER_WITHIN
        {
            self.following.on_timeout();
            self.ask_anew();
        }
        if self.open.is_some() || now < self.ask_due {
            return;
        }
        let Some(link) = self.following.selected() else {
            return;
        };
        self.last_id += 1;
        let id = self.last_id;
        self.open = Some(Open { id, asked: now });
        self.ask_due = now + ASK_EVERY;
        self.send(link, ToRelay::Lease { id, have });
    }

    /// An answer came; when its question was asked, if it is the open one.
    pub(super) fn answered(&mut self, id: u64) -> Option<Duration> {
        let open = self.open.take_if(|open| open.id == id)?;
        Some(open.asked)
    }

    /// Sends to the control host that is followed.
    pub(super) fn send_followed(&self, message: ToRelay) {
        if let Some(link) = self.following.selected() {
            self.send(link, message);
        }
    }

    /// Sends to the other control hosts that keep a log.
    pub(super) fn send_others(&self, message: &ToRelay) {
        for link in self.following.others() {
            self.send(link, message.clone());
        }
    }

    fn send(&self, link: LinkId, message: ToRelay) {
        let Some(Link { tx, .. }) = self.links.get(&link) else {
            return;
        };
        if let Err(e) = tx.send(&Message::ToRelay(message)) {
            // Reports are small; one beyond the size of a frame would be a fault of this program.
            log::error!("a message to a control host can't be encoded: {e}");
            tx.close();
        }
    }
}
