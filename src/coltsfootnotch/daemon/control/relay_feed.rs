//! Updates sent to another relay on one connection.

use std::time::Duration;

use coltsfootnotch_membership::{Registry, RelaySums};
use coltsfootnotch_types::HostName;

use super::packet::RelayPacket;

/// Idle time after which an empty packet is sent as a keepalive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Tracks the updates sent to another relay on one connection.
///
/// Delivery is reliable and ordered, so the peer has every version sent. A new connection starts with
/// the full state.
#[derive(Debug, Default)]
pub(super) struct RelayFeed {
    started: bool,
    hosts: u64,
    sums: u64,
    sent: Duration,
}

impl RelayFeed {
    /// The next update for the relay on `peer`, if anything changed or a keepalive is due.
    pub(super) fn next(
        &mut self,
        now: Duration,
        peer: &HostName,
        registry: &Registry,
        sums: &RelaySums,
    ) -> Option<RelayPacket> {
        let is_first = !self.started;
        let is_keepalive_due = now >= self.sent + KEEPALIVE_INTERVAL;
        let is_changed = registry.summary().version() > self.hosts;
        let delta =
            (is_first || is_keepalive_due || is_changed).then(|| registry.delta_since(self.hosts));
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
