//! What this relay has told another over one connection.

use std::time::Duration;

use coltsfootnotch_membership::{Registry, RelaySums};
use coltsfootnotch_types::HostName;

use super::packet::RelayPacket;

/// Time after which an empty packet says that this relay is still there.
const ALIVE_EVERY: Duration = Duration::from_secs(5);

/// What this relay has told another over one connection.
///
/// Connections deliver in order and whole, so the versions sent are the versions known; a new
/// connection starts with everything.
#[derive(Debug, Default)]
pub(super) struct RelayFeed {
    started: bool,
    hosts: u64,
    sums: u64,
    sent: Duration,
}

impl RelayFeed {
    /// What to send now to the relay on `peer`, if anything changed.
    pub(super) fn next(
        &mut self,
        now: Duration,
        peer: &HostName,
        registry: &Registry,
        sums: &RelaySums,
    ) -> Option<RelayPacket> {
        let is_first = !self.started;
        let alive_due = now >= self.sent + ALIVE_EVERY;
        let changed = registry.summary().version() > self.hosts;
        let delta = (is_first || alive_due || changed).then(|| registry.delta_since(self.hosts));
        let mut packet = RelayPacket {
            hosts: delta,
            sums: sums.delta_since(self.sums).into_iter().collect(),
        };
        if is_first {
            packet.sums.extend(sums.full_deltas(peer));
        }
        if packet.hosts.is_none() && packet.sums.is_empty() {
            return None;
        }
        self.started = true;
        self.sent = now;
        self.hosts = packet.hosts.as_ref().map_or(self.hosts, |d| d.to);
        self.sums = packet
            .sums
            .first()
            .map_or(self.sums, |d| d.to.max(self.sums));
        Some(packet)
    }
}
