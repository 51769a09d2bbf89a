//! Announcements of upstreams, and their broadcast to forwarding entries.

use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::registry::{Announcement, RegistryUpdate};
use coltsfootnotch_wire::{FromRelay, UpstreamKeepAlive, UpstreamRecord};

use super::Seeded;
use crate::daemon::control::daemon::ControlDaemon;
use crate::daemon::control::packet::MemberPacket;
use crate::util::events;

/// Silence after which an upstream expires, several announcement intervals. Entries detect failed
/// upstreams earlier by their own requests.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Shortest interval of broadcasts of keep-alives, well below the entries' timeout.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest such interval, in a very large fleet; entries expire an upstream after 8 s of silence.
const MAX_ALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// Minimum interval of broadcasts per keep-alive sent. Each takes some 20 bytes, so a control host spends at
/// most 1 MB/s on them.
const SEND_TIME_PER_KEEP_ALIVE: Duration = Duration::from_micros(20);

impl ControlDaemon {
    /// Handles an upstream's announcement.
    ///
    /// Changes are sent to entries before the caller gets its reply: a departing upstream relies on it, and
    /// a delayed broadcast could be lost with this host.
    pub(in crate::daemon::control) fn on_announcement(
        &mut self,
        now: Duration,
        announcement: Announcement,
    ) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let report = UpstreamRecord::from(&announcement);
        let update = seeded.registry.apply(now, announcement);
        if update == RegistryUpdate::Changed {
            self.log_upstream(&report);
        }
        match update {
            RegistryUpdate::Changed => {
                self.broadcast_to_entries(&FromRelay::Upstreams(vec![report]));
            }
            RegistryUpdate::Refreshed => {
                if let Some(seeded) = &mut self.seeded {
                    seeded.alive.push(UpstreamKeepAlive {
                        id: report.id,
                        born_ms: report.born_ms,
                        sequence: report.sequence,
                    });
                }
            }
            RegistryUpdate::Stale => {}
        }
    }

    /// Broadcasts the keep-alives of unchanged upstreams in one message, to wake entries less often.
    pub(super) fn send_alive(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        if now < seeded.alive_due {
            return;
        }
        let alive = std::mem::take(&mut seeded.alive);
        let keep_alives = alive.len() * seeded.entries.links().count();
        let time = SEND_TIME_PER_KEEP_ALIVE * u32::try_from(keep_alives).unwrap_or(u32::MAX);
        seeded.alive_due = now + time.clamp(ALIVE_INTERVAL, MAX_ALIVE_INTERVAL);
        if !alive.is_empty() {
            self.broadcast_to_entries(&FromRelay::UpstreamsAlive(alive));
        }
    }

    /// Handles an upstream's report that it has left. It is sent to the other control hosts as well, so that
    /// they don't list the upstream to new entries.
    pub(in crate::daemon::control) fn on_upstream_left(
        &mut self,
        now: Duration,
        id: &str,
        born_ms: Option<u64>,
    ) {
        if self.record_upstream_left(now, id, born_ms) {
            self.links
                .broadcast_to_members(&MemberPacket::UpstreamLeft {
                    id: id.to_owned(),
                    born_ms,
                });
        }
    }

    /// Records that an upstream has left; returns `false` for a report of an earlier run.
    pub(in crate::daemon::control) fn record_upstream_left(
        &mut self,
        now: Duration,
        id: &str,
        born_ms: Option<u64>,
    ) -> bool {
        let Some(seeded) = &mut self.seeded else {
            return false;
        };
        let is_recorded = seeded.registry.mark_left(now, id, born_ms);
        if is_recorded {
            self.host
                .log(&events::UPSTREAM_LEAVING, &[("upstream", &id)]);
            self.broadcast_to_entries(&FromRelay::UpstreamLeft {
                id: id.to_owned(),
                born_ms,
            });
        }
        is_recorded
    }

    pub(super) fn expire_upstreams(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        for announcement in seeded.registry.expire(now, SILENCE_TIMEOUT) {
            self.host.log(
                &events::UPSTREAM_SILENT,
                &[
                    ("upstream", &announcement.id),
                    ("service", &announcement.service),
                ],
            );
        }
    }

    /// Sends the current state to a newly connected entry. The configuration follows with the response to
    /// its lease request: an entry is connected to all control hosts, and one copy is enough.
    pub(in crate::daemon::control) fn send_initial_state(&self, link: LinkId) {
        let Some(seeded) = &self.seeded else {
            return;
        };
        self.send_to_host(link, seeded.control_hosts(&self.host.identity.domain));
        if !seeded.discovery.has_log() {
            return;
        }
        // Before the upstreams, so that none of an evacuated domain gets a request.
        self.send_to_host(link, self.evacuations());
        self.send_to_host(link, FromRelay::Upstreams(upstream_reports(seeded)));
        for (id, born_ms) in seeded.registry.departed() {
            let id = id.to_owned();
            self.send_to_host(link, FromRelay::UpstreamLeft { id, born_ms });
        }
    }

    pub(in crate::daemon::control) fn broadcast_to_entries(&self, message: &FromRelay) {
        let entries = self.seeded.iter().flat_map(|s| s.entries.links());
        for link in entries {
            self.send_to_host(link, message.clone());
        }
    }

    fn log_upstream(&self, report: &UpstreamRecord) {
        let event = match report.stage {
            coltsfootnotch_wire::UpstreamStage::Ready => &events::UPSTREAM_ANNOUNCED,
            _ => &events::UPSTREAM_LEAVING,
        };
        self.host.log(
            event,
            &[
                ("upstream", &report.id),
                ("service", &report.service),
                ("version", &report.version),
                ("address", &report.address),
                ("born_ms", &report.born_ms),
                ("sequence", &report.sequence),
            ],
        );
    }
}

fn upstream_reports(seeded: &Seeded) -> Vec<UpstreamRecord> {
    let all = seeded.registry.all();
    all.map(|u| UpstreamRecord::from(&u.announcement)).collect()
}
