//! Discovery of other control hosts: the addresses to dial.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_types::HostName;

use super::{SeededHello, Seeds};

/// Time after which an unreachable address that is no seed is no longer dialled. A host that reconnects
/// later is reported by other hosts or dials by itself.
const EXPIRE_AFTER: Duration = Duration::from_secs(30);

/// Most addresses that are kept. Groups have at most seven members; the rest are replaced hosts.
const MAX_ADDRESSES: usize = 64;

/// The addresses that a control host dials.
#[derive(Debug)]
pub struct Discovery {
    local: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    /// Addresses in the data folder.
    saved: BTreeSet<SocketAddr>,
    first_start: bool,
    has_log: bool,
    next_log_host: usize,
    /// Addresses reported by other hosts, with the time of the last connection or report.
    reported: BTreeMap<SocketAddr, Duration>,
    connected: BTreeMap<HostName, SeededHello>,
}

impl Discovery {
    /// Creates the state of the host at `local`, which first dials its seeds and the `saved` addresses.
    #[must_use]
    pub fn new(
        local: SocketAddr,
        has_log: bool,
        seeds: &Seeds,
        saved: BTreeSet<SocketAddr>,
    ) -> Self {
        Self {
            local,
            saved,
            seeds: seeds.addresses.iter().copied().collect(),
            first_start: seeds.first_start,
            has_log,
            next_log_host: 0,
            reported: BTreeMap::new(),
            connected: BTreeMap::new(),
        }
    }

    /// Replaces the seeds. The previous ones are dialled until they expire.
    pub(in crate::daemon::control) fn set_seeds(&mut self, now: Duration, seeds: &[SocketAddr]) {
        let before = std::mem::replace(&mut self.seeds, seeds.iter().copied().collect());
        for address in before {
            self.reported.insert(address, now);
        }
    }

    /// The new content of the address file, if a connected host that has a log is missing from it. Expired
    /// addresses are dropped.
    pub fn addresses_to_save(&mut self, now: Duration) -> Option<BTreeSet<SocketAddr>> {
        let log_hosts = self.connected.values().filter(|h| h.has_log);
        let mut addresses = log_hosts.map(|h| &h.address);
        if addresses.all(|a| self.saved.contains(a)) {
            return None;
        }
        let recent = self.recent(now);
        self.saved.clone_from(&recent);
        Some(recent)
    }

    /// This host's discovery state, as sent to other hosts.
    #[must_use]
    pub fn hello(&self) -> SeededHello {
        SeededHello {
            address: self.local,
            first_start: self.first_start,
            has_log: self.has_log,
            seeds: self.seeds.iter().copied().collect(),
            connected: self.connected.values().map(|h| h.address).collect(),
        }
    }

    /// Records the hello of another host; returns whether the host is newly connected.
    pub fn record_hello(&mut self, now: Duration, host: &HostName, hello: SeededHello) -> bool {
        for address in hello.connected.iter().chain([&hello.address]) {
            if self.reported.len() < MAX_ADDRESSES {
                self.reported.insert(*address, now);
            }
        }
        self.connected.insert(host.clone(), hello).is_none()
    }

    /// Removes a host whose last connection has closed.
    pub fn remove_host(&mut self, now: Duration, host: &HostName) {
        if let Some(hello) = self.connected.remove(host) {
            self.reported.insert(hello.address, now);
        }
    }

    /// The connected hosts.
    pub fn connected(&self) -> impl Iterator<Item = (&HostName, &SeededHello)> {
        self.connected.iter()
    }

    /// Whether this host has a log.
    pub(in crate::daemon::control) fn has_log(&self) -> bool {
        self.has_log
    }

    /// Addresses of the hosts that have a log, among this one and the connected ones.
    pub(in crate::daemon::control) fn log_hosts(&self) -> Vec<SocketAddr> {
        let others = self.connected.values().filter(|h| h.has_log);
        let local = self.has_log.then_some(self.local);
        others.map(|h| h.address).chain(local).collect()
    }

    /// The next of [`Self::log_hosts`], round robin.
    pub(in crate::daemon::control) fn next_log_host(&mut self) -> Option<SocketAddr> {
        let log_hosts = self.log_hosts();
        self.next_log_host = self.next_log_host.wrapping_add(1);
        log_hosts
            .get(self.next_log_host % log_hosts.len().max(1))
            .copied()
    }

    /// The addresses to dial now.
    pub fn addresses_to_dial(&mut self, now: Duration) -> BTreeSet<SocketAddr> {
        let mut addresses_to_dial = self.recent(now);
        addresses_to_dial.extend(&self.seeds);
        addresses_to_dial.extend(&self.saved);
        addresses_to_dial.remove(&self.local);
        addresses_to_dial
    }

    /// Addresses of hosts that were connected or reported recently.
    fn recent(&mut self, now: Duration) -> BTreeSet<SocketAddr> {
        for hello in self.connected.values() {
            self.reported.insert(hello.address, now);
        }
        self.reported
            .retain(|_, at| now.saturating_sub(*at) < EXPIRE_AFTER);
        let others = self.reported.keys().filter(|a| **a != self.local);
        others.copied().collect()
    }
}
