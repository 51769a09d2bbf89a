//! Periodic tasks: failure detection, directory and configuration updates, deadlines.

use std::time::Duration;

use coltsfootnotch_consensus::Membership;
use coltsfootnotch_manifest::Digest;
use coltsfootnotch_membership::{HostRecord, MemberEventKind, Presence};
use coltsfootnotch_state::{LedgerLimits, Op};
use coltsfootnotch_wire::{FromRelay, Message};

use super::ControlDaemon;
use crate::daemon::control::host_feed::Push;
use crate::util::events;

/// Interval of maintenance rounds. A change reaches hosts within two rounds and the network delay, well
/// below the 3 s within which a silent host has to be detected.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of this host's heartbeats in its own registry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of commands that advance log time and expire ledger records.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(60);
const SECONDS_PER_HOUR: u32 = 3_600;

impl ControlDaemon {
    pub(super) fn maintain(&mut self, now: Duration) {
        self.maintenance_due = now + MAINTENANCE_INTERVAL;
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + HEARTBEAT_INTERVAL;
            let record = self.local_record();
            self.relay.record_local_heartbeat(now, record);
        }
        self.check_hosts(now);
        self.bootstrap_listed(now);
        self.maintain_seeded(now);
        self.update_group_status(now);
        self.retry_waiting(now);
        self.expire_requests(now);
        self.expire_records(now);
        self.update_hosts(now);
        self.update_relays(now);
    }

    fn check_hosts(&mut self, now: Duration) {
        for event in self.relay.tick(now) {
            if event.kind == MemberEventKind::Silent {
                self.host
                    .log(&events::HOST_SILENT, &[("silent_host", &event.host)]);
            }
        }
    }

    fn bootstrap_listed(&mut self, now: Duration) {
        let in_force = |r: &HostRecord| r.presence != Presence::Gone && r.config > 0;
        let is_config_in_force = self.relay.directory.hosts().any(in_force);
        let Some(members) = self.bootstrap.due(now, is_config_in_force) else {
            return;
        };
        self.bootstrap_group(now, members);
    }

    /// Writes the group's first log entry. A refusal is logged as an error, since there is then no group.
    pub(in crate::daemon::control) fn bootstrap_group(
        &mut self,
        now: Duration,
        members: Membership,
    ) {
        let voters = members.voters.len();
        match self.replica.core_mut().bootstrap(now, members.voters) {
            Ok(()) => self
                .host
                .log(&events::GROUP_BOOTSTRAPPED, &[("voters", &voters)]),
            Err(e) => self.host.log(&events::BOOTSTRAP_FAILED, &[("reason", &e)]),
        }
    }

    fn expire_requests(&mut self, now: Duration) {
        for (request, response) in self.requests.expire(now) {
            self.send_response(now, request.origin, response);
        }
    }

    fn expire_records(&mut self, now: Duration) {
        if now >= self.expire_due && self.replica.core().is_leader() {
            self.expire_due = now + EXPIRE_INTERVAL;
            self.replica.propose_internal(now, Op::Expire);
        }
    }

    /// Sends directory changes, totals, evacuations and configurations to hosts.
    fn update_hosts(&mut self, now: Duration) {
        let run = self.host.identity.incarnation;
        let revision = self.evacuations.revision();
        let evacuations = self.evacuations();
        let relay = &self.relay;
        for link in self.links.hosts_mut() {
            let Some(feed) = &mut link.host else {
                continue;
            };
            let directory = feed.next_directory(now, run, &relay.directory);
            let totals = feed.next_totals(&relay.sums);
            let evacuations = feed
                .needs_evacuations(revision)
                .then(|| evacuations.clone());
            for message in directory.into_iter().chain(totals).chain(evacuations) {
                link.send_host(message);
            }
        }
        self.push_config(now);
    }

    /// Sends the configuration to the hosts that have a lower one in force.
    ///
    /// The applied configuration is committed but may be stale if this member is partitioned. A host
    /// without one could go back behind its previous run, so it has to request a configuration confirmed
    /// by a quorum.
    fn push_config(&mut self, now: Duration) {
        let number = self.config.number();
        for link in self.links.hosts_mut() {
            let Some(feed) = link.host.as_mut().filter(|feed| feed.config > 0) else {
                continue;
            };
            let message = match feed.next_config(now, number) {
                Some(Push::DeltaFrom(from)) => {
                    let delta = self.config.delta(from);
                    delta.or_else(|| self.config.full())
                }
                Some(Push::Full) => self.config.full(),
                None => None,
            };
            if let Some(message) = message {
                link.send_host(message);
            }
        }
    }

    fn update_relays(&mut self, now: Duration) {
        for id in self.links.control_ids() {
            let Some(link) = self.links.get_mut(id) else {
                continue;
            };
            let (registry, sums) = (&self.relay.registry, &self.relay.sums);
            let packet = link.relay.next(now, &link.peer.host, registry, sums);
            if let Some(packet) = packet {
                let bytes = postcard::to_allocvec(&packet).expect("a packet can be encoded");
                link.send(&Message::BetweenRelays(bytes));
            }
        }
    }

    /// Logs newly applied evacuations and sends them to hosts, before the reply to the operator.
    pub(super) fn on_evacuations_applied(&mut self) {
        let evacuations = self.replica.machine().evacuations();
        let revision = evacuations.revision();
        if revision == self.evacuations.revision() {
            return;
        }
        let before = std::mem::replace(&mut self.evacuations, evacuations.clone());
        let (old, new) = (before.domains(), self.evacuations.domains());
        for (event, domains) in [
            (&events::EVACUATION_STARTED, new.difference(old)),
            (&events::EVACUATION_ENDED, old.difference(new)),
        ] {
            for domain in domains {
                self.host
                    .log(event, &[("domain", domain), ("revision", &revision)]);
            }
        }
        self.host
            .metrics
            .gauge("evacuated_domains", &[])
            .set(new.len() as f64);
        self.broadcast_to_entries(&self.evacuations());
    }

    /// The evacuated domains, as they are sent to hosts.
    pub(in crate::daemon::control) fn evacuations(&self) -> FromRelay {
        let evacuations = self.replica.machine().evacuations();
        FromRelay::Evacuations {
            revision: evacuations.revision(),
            domains: evacuations.domains().iter().cloned().collect(),
        }
    }

    /// Logs a newly applied configuration and sends it to hosts.
    pub(super) fn on_config_applied(&mut self, now: Duration) {
        if self.replica.machine().config().number() == self.config.number() {
            return;
        }
        let Some(body) = self.config_body() else {
            return;
        };
        let digest = Digest(body.digest);
        self.host.log(
            &events::CONFIG_ACCEPTED,
            &[("number", &body.number), ("digest", &digest)],
        );
        if self.seeded.is_some() {
            self.patches.accept(body.clone());
        }
        self.config.accept(body);
        if let Some(manifest) = self.config.manifest() {
            self.set_limits(now, manifest.ledger.keep_hours);
        }
        self.push_config(now);
        self.push_config_to_entries(now);
    }

    /// Proposes the ledger limits of the manifest if this member leads and they have changed.
    fn set_limits(&mut self, now: Duration, keep_hours: u32) {
        let limits = self.replica.machine().ledger().limits();
        let required = LedgerLimits {
            retention_secs: keep_hours.saturating_mul(SECONDS_PER_HOUR),
            ..limits
        };
        if required != limits {
            self.replica.propose_internal(now, Op::SetLimits(required));
        }
    }
}
