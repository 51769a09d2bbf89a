//! What is done by time, apart from the log: silence, deltas, configurations, deadlines.

use std::time::Duration;

use coltsfootnotch_consensus::Membership;
use coltsfootnotch_manifest::Digest;
use coltsfootnotch_membership::{HostRecord, MemberEventKind, Presence};
use coltsfootnotch_state::{LedgerLimits, Op};
use coltsfootnotch_wire::Message;

use super::ControlDaemon;
use crate::daemon::control::host_feed::Push;
use crate::util::events;

/// Between two rounds. Relays and hosts hear of a change within two rounds and the way between, far
/// below the 3 s in which a silent host must be known; each round of deltas costs one packet a peer.
const UPKEEP_EVERY: Duration = Duration::from_millis(150);
/// Between two signs of life of this host in its own registry.
const BEAT_EVERY: Duration = Duration::from_millis(500);
/// Between two commands that move log time on and let ledger records expire.
const EXPIRE_EVERY: Duration = Duration::from_secs(60);
const SECONDS_PER_HOUR: u32 = 3_600;

impl ControlDaemon {
    pub(super) fn upkeep(&mut self, now: Duration) {
        self.upkeep_due = now + UPKEEP_EVERY;
        if now >= self.beat_due {
            self.beat_due = now + BEAT_EVERY;
            let record = self.own_record();
            self.relay.beat_self(now, record);
        }
        self.watch_hosts(now);
        self.found_group(now);
        self.upkeep_seeded(now);
        self.watch_group(now);
        self.retry_waiting(now);
        self.expire_requests(now);
        self.expire_records(now);
        self.tell_hosts(now);
        self.tell_relays(now);
    }

    fn watch_hosts(&mut self, now: Duration) {
        for event in self.relay.tick(now) {
            if event.kind == MemberEventKind::Silent {
                self.host
                    .log(&events::HOST_SILENT, &[("silent_host", &event.host)]);
            }
        }
    }

    fn found_group(&mut self, now: Duration) {
        let in_force = |r: &HostRecord| r.presence != Presence::Gone && r.config > 0;
        let is_config_in_force = self.relay.directory.hosts().any(in_force);
        let Some(members) = self.founding.due(now, is_config_in_force) else {
            return;
        };
        self.found(now, members);
    }

    /// Writes the first entry of the group. Refused, it stays without a group, which an operator must see.
    pub(in crate::daemon::control) fn found(&mut self, now: Duration, members: Membership) {
        let voters = members.voters.len();
        match self.replica.core_mut().bootstrap(now, members.voters) {
            Ok(()) => self
                .host
                .log(&events::GROUP_FOUNDED, &[("voters", &voters)]),
            Err(e) => self.host.log(&events::FOUND_REFUSED, &[("reason", &e)]),
        }
    }

    fn expire_requests(&mut self, now: Duration) {
        for (request, answer) in self.requests.expire(now) {
            self.deliver(now, request.origin, answer);
        }
    }

    fn expire_records(&mut self, now: Duration) {
        if now >= self.expire_due && self.replica.core().is_leader() {
            self.expire_due = now + EXPIRE_EVERY;
            self.replica.propose_own(now, Op::Expire);
        }
    }

    /// Sends each host what changed for it.
    fn tell_hosts(&mut self, now: Duration) {
        let run = self.host.identity.incarnation;
        let relay = &self.relay;
        for link in self.links.hosts_mut() {
            let Some(feed) = &mut link.host else {
                continue;
            };
            let directory = feed.next_directory(now, run, &relay.directory);
            let totals = feed.next_totals(&relay.sums);
            for message in directory.into_iter().chain(totals) {
                link.send_host(message);
            }
        }
        self.push_config(now);
    }

    /// Sends the configuration to the hosts that have a lower one in force.
    ///
    /// What this member has applied is committed but may be old, if the member is cut off. A host
    /// with a configuration can't go back by it. A host that was restarted has none, and could be
    /// put back behind what it had before; it asks for one that a quorum confirms.
    fn push_config(&mut self, now: Duration) {
        let number = self.config.number();
        for link in self.links.hosts_mut() {
            let Some(feed) = link.host.as_mut().filter(|feed| feed.config > 0) else {
                continue;
            };
            let message = match feed.next_config(now, number) {
                Some(Push::DeltaFrom(from)) => {
                    let delta = self.config.delta(from);
                    delta.or_else(|| self.config.whole())
                }
                Some(Push::Whole) => self.config.whole(),
                None => None,
            };
            if let Some(message) = message {
                link.send_host(message);
            }
        }
    }

    fn tell_relays(&mut self, now: Duration) {
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

    /// Takes a configuration that has just been applied, and sends it to hosts at once.
    pub(super) fn config_applied(&mut self, now: Duration) {
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
        self.config.accept(body);
        if let Some(manifest) = self.config.manifest() {
            self.set_limits(now, manifest.ledger.keep_hours);
        }
        self.push_config(now);
        if let Some(whole) = self.config.whole() {
            self.tell_followers(&whole);
        }
    }

    /// The leader brings the ledger's limits in line with the manifest, through the log.
    fn set_limits(&mut self, now: Duration, keep_hours: u32) {
        let limits = self.replica.machine().ledger().limits();
        let wanted = LedgerLimits {
            retention_secs: keep_hours.saturating_mul(SECONDS_PER_HOUR),
            ..limits
        };
        if wanted != limits {
            self.replica.propose_own(now, Op::SetLimits(wanted));
        }
    }
}
