//! Which addresses a control host dials to find the others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_types::HostName;

use super::{SeededHello, Seeds};

/// An address that is no seed and at which nobody answered for this long is dialled no more: a host
/// that was removed for good would otherwise be dialled for ever. One that was only cut off is told of
/// again by the others once it is back, or dials by itself.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Most addresses dialled. Groups have at most seven members; the rest are hosts that were replaced.
const MAX_ADDRESSES: usize = 64;

/// Which addresses a control host dials.
#[derive(Debug)]
pub struct Finding {
    own: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    /// Addresses that the data folder keeps.
    kept: BTreeSet<SocketAddr>,
    first_start: bool,
    keeps_log: bool,
    next_keeper: usize,
    /// Addresses that others told of, with when one was last connected or told of.
    told: BTreeMap<SocketAddr, Duration>,
    connected: BTreeMap<HostName, SeededHello>,
}

impl Finding {
    /// For the host at `own`, which dials its seeds and the addresses that it has `kept` first.
    #[must_use]
    pub fn new(
        own: SocketAddr,
        keeps_log: bool,
        seeds: &Seeds,
        kept: BTreeSet<SocketAddr>,
    ) -> Self {
        Self {
            own,
            kept,
            seeds: seeds.addresses.iter().copied().collect(),
            first_start: seeds.first_start,
            keeps_log,
            next_keeper: 0,
            told: BTreeMap::new(),
            connected: BTreeMap::new(),
        }
    }

    /// The settings name other seeds now. Those of before stay known for a while.
    pub(in crate::daemon::control) fn set_seeds(&mut self, now: Duration, seeds: &[SocketAddr]) {
        let before = std::mem::replace(&mut self.seeds, seeds.iter().copied().collect());
        for address in before {
            self.told.insert(address, now);
        }
    }

    /// The addresses to keep from now on, where a control host is connected that keeps a log and whose
    /// address is not kept yet. Hosts that went are left out then: those that nobody tells of any more.
    pub fn to_keep(&mut self, now: Duration) -> Option<BTreeSet<SocketAddr>> {
        let keepers = self.connected.values().filter(|h| h.keeps_log);
        let mut addresses = keepers.map(|h| &h.address);
        if addresses.all(|a| self.kept.contains(a)) {
            return None;
        }
        let known = self.known(now);
        self.kept.clone_from(&known);
        Some(known)
    }

    /// What this host says of itself.
    #[must_use]
    pub fn hello(&self) -> SeededHello {
        SeededHello {
            address: self.own,
            first_start: self.first_start,
            keeps_log: self.keeps_log,
            seeds: self.seeds.iter().copied().collect(),
            connected: self.connected.values().map(|h| h.address).collect(),
        }
    }

    /// Takes what another host says of itself; whether it is one that was not connected.
    pub fn hear(&mut self, now: Duration, host: &HostName, hello: SeededHello) -> bool {
        for address in hello.connected.iter().chain([&hello.address]) {
            if self.told.len() < MAX_ADDRESSES {
                self.told.insert(*address, now);
            }
        }
        self.connected.insert(host.clone(), hello).is_none()
    }

    /// No connection to the host is left.
    pub fn lose(&mut self, now: Duration, host: &HostName) {
        if let Some(hello) = self.connected.remove(host) {
            self.told.insert(hello.address, now);
        }
    }

    /// The hosts that are connected.
    pub fn connected(&self) -> impl Iterator<Item = (&HostName, &SeededHello)> {
        self.connected.iter()
    }

    /// Whether this host keeps a log.
    pub(in crate::daemon::control) fn keeps_log(&self) -> bool {
        self.keeps_log
    }

    /// Addresses of the hosts that keep a log, among this one and those connected.
    pub(in crate::daemon::control) fn keepers(&self) -> Vec<SocketAddr> {
        let others = self.connected.values().filter(|h| h.keeps_log);
        let own = self.keeps_log.then_some(self.own);
        others.map(|h| h.address).chain(own).collect()
    }

    /// One of these, in turn.
    pub(in crate::daemon::control) fn next_keeper(&mut self) -> Option<SocketAddr> {
        let keepers = self.keepers();
        self.next_keeper = self.next_keeper.wrapping_add(1);
        keepers
            .get(self.next_keeper % keepers.len().max(1))
            .copied()
    }

    /// The addresses to dial now.
    pub fn wanted(&mut self, now: Duration) -> BTreeSet<SocketAddr> {
        let mut wanted = self.known(now);
        wanted.extend(&self.seeds);
        wanted.extend(&self.kept);
        wanted.remove(&self.own);
        wanted
    }

    /// Addresses of hosts that were connected or told of not long ago.
    fn known(&mut self, now: Duration) -> BTreeSet<SocketAddr> {
        for hello in self.connected.values() {
            self.told.insert(hello.address, now);
        }
        self.told
            .retain(|_, at| now.saturating_sub(*at) < FORGET_AFTER);
        let others = self.told.keys().filter(|a| **a != self.own);
        others.copied().collect()
    }
}
