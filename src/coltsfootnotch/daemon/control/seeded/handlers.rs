//! Periodic tasks and request handlers of a control host that uses discovery.

use std::time::Duration;

use coltsfootnotch_consensus::MemberChange;
use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_state::{
    ApplyConfig, BodyDigest, ConfigReply, EvacuationOrder, EvacuationReply, Op, Reply,
    SetEvacuation,
};
use coltsfootnotch_types::DomainName;
use coltsfootnotch_wire::{FromRelay, StreamOriginRecord};
use tokio::sync::oneshot;

use super::bootstrap::{BootstrapBlocked, ObservedHost};
use super::entries::LeaseQuery;
use super::load_exchange::Round;
use super::members::GroupView;
use super::{Call, CallReply};
use crate::core::{decode_reply, encode_op};
use crate::daemon::control::daemon::{ControlDaemon, encoded};
use crate::daemon::control::packet::{LeaderRequest, LeaderResponse, MemberPacket};
use crate::daemon::control::request_table::Origin;
use crate::util::events;

/// Interval of log lines while there is no group. A starting fleet has one within a second.
pub(super) const NO_GROUP_LOG_INTERVAL: Duration = Duration::from_secs(2);

impl ControlDaemon {
    /// Dials peers, bootstraps the group, changes its members and updates the entries.
    pub(in crate::daemon::control) fn maintain_seeded(&mut self, now: Duration) {
        if self.seeded.is_none() {
            return;
        }
        self.dial_peers(now);
        self.bootstrap_seeded(now);
        self.change_members(now);
        self.expire_upstreams(now);
        self.maintain_versions(now);
        self.send_alive(now);
    }

    /// Exchanges the load of the fleet with the other control hosts and the entries, if that is due.
    pub(in crate::daemon::control) fn exchange_load(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        if now < seeded.load_due {
            return;
        }
        let links = &self.links;
        let send = |link, message| {
            if let Some(link) = links.get(link) {
                link.send_host(message);
            }
        };
        let send_part = |link, part| {
            if let Some(link) = links.get(link) {
                link.send_member(&MemberPacket::Load(part));
            }
        };
        for link in seeded.load.subscribers() {
            if let Some(message) = seeded.entries.take_neighbours(link) {
                send(link, message);
            }
        }
        let period = seeded.evidence_period();
        let round = Round {
            segments: &seeded.evidence.take_report(now, period),
        };
        let next = seeded
            .load
            .run_round(now, &round, &links.control_ids(), send_part, send);
        seeded.load_due = now + next;
        let reporting = seeded.load.subscribers().count() as f64;
        let metrics = &self.host.metrics;
        metrics.gauge("entries_reporting", &[]).set(reporting);
        let entries = seeded.load.entries(now);
        seeded.retries.on_round(now, entries);
        metrics.gauge("fleet_entries", &[]).set(f64::from(entries));
        self.log_limited_accounts(now);
    }

    /// Logs the accounts that got less than they asked for. All control hosts have the same totals, so only
    /// the leader logs them.
    fn log_limited_accounts(&mut self, now: Duration) {
        let is_leader = self.replica.core().is_leader();
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let limited = seeded.load.take_limited(now);
        if !is_leader {
            return;
        }
        let entries = seeded.load.entries(now);
        for used in limited {
            self.host.log(
                &events::ACCOUNT_LIMITED,
                &[
                    ("account", &used.account),
                    ("requested", &used.requested),
                    ("admitted", &used.admitted),
                    ("entries", &entries),
                ],
            );
        }
    }

    fn dial_peers(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let addresses = seeded.discovery.addresses_to_dial(now);
        self.dialer.set_targets(&self.endpoint, &addresses);
        if let Some(addresses) = seeded.discovery.addresses_to_save(now) {
            self.disk.save_addresses(addresses);
        }
    }

    fn bootstrap_seeded(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let discovery_hello = seeded.discovery.hello();
        let local = self.bootstrap.local_hello();
        if !local.empty {
            return;
        }
        let local = ObservedHost {
            member: &local.member,
            empty: local.empty,
            hello: &discovery_hello,
        };
        let bootstrap = &self.bootstrap;
        let others = seeded.discovery.connected().filter_map(|(host, hello)| {
            let member_hello = bootstrap.hello_of(host)?;
            Some(ObservedHost {
                member: &member_hello.member,
                empty: member_hello.empty,
                hello,
            })
        });
        let due = seeded.bootstrap.due(now, local, others);
        match due {
            Ok(members) => self.bootstrap_group(now, members),
            Err(why) => self.log_no_group(now, &why),
        }
    }

    /// Logs periodically why there is no group yet; without one no configuration is accepted.
    fn log_no_group(&mut self, now: Duration, why: &BootstrapBlocked) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        if now < seeded.no_group_log_due {
            return;
        }
        seeded.no_group_log_due = now + NO_GROUP_LOG_INTERVAL;
        let connected = seeded.discovery.connected().count();
        self.host.log(
            &events::NO_GROUP,
            &[("reason", why), ("control_hosts", &connected)],
        );
    }

    fn change_members(&mut self, now: Duration) {
        let members = self.replica.core().status().members;
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let local = &self.bootstrap.local_hello().member;
        let others = self.bootstrap.seeded_peers();
        seeded.connectivity.update(now, &members, local, others);
        if !self.replica.core().is_leader() {
            return;
        }
        let view = GroupView {
            members: &members,
            peers: &self.replica.core().peers(),
            connectivity: &seeded.connectivity,
        };
        let Some(change) = view.next_change(now) else {
            return;
        };
        // Refused while an earlier change is not finished; retried in the next round.
        if self.replica.core_mut().change_members(now, &change).is_ok() {
            self.log_change(&change);
        }
    }

    fn log_change(&self, change: &MemberChange) {
        let (what, member, replaces) = match change {
            MemberChange::Add { member, replaces } => ("add", member, replaces.as_ref()),
            MemberChange::Promote { member, replaces } => ("promote", member, replaces.as_ref()),
            MemberChange::Remove { member } => ("remove", member, None),
            MemberChange::Retire { member } => ("retire", member, None),
        };
        let replaces = replaces.map_or_else(|| "none".to_owned(), ToString::to_string);
        self.host.log(
            &events::MEMBERS_CHANGING,
            &[
                ("change", &what),
                ("member", member),
                ("replaces", &replaces),
            ],
        );
    }

    /// Handles a call of an operator or an upstream.
    pub(in crate::daemon::control) fn on_call(
        &mut self,
        now: Duration,
        call: Call,
        tx: oneshot::Sender<CallReply>,
    ) {
        if let Some(redirect) = self.redirect() {
            let _caller_waits = tx.send(redirect);
            return;
        }
        match call {
            // This host may end before what it acknowledges is passed on.
            Call::Announce(_) | Call::Leave { .. } if self.is_stopping() => {
                let _caller_waits = tx.send(CallReply::Unknown);
            }
            Call::Announce(announcement) => self.announce(now, announcement, tx),
            Call::Leave { id, born_ms } => {
                self.on_upstream_left(now, &id, born_ms);
                self.on_acknowledged(now);
                let _caller_waits = tx.send(CallReply::Done);
            }
            Call::Apply { number, body } => self.apply(now, number, body, tx),
            Call::Evacuate { domain, evacuated } => self.evacuate(now, domain, evacuated, tx),
            Call::Read => self.submit_call(now, LeaderRequest::Read, tx),
        }
    }

    /// The reply of a host that has no log: a redirect to one that has.
    fn redirect(&mut self) -> Option<CallReply> {
        let discovery = &mut self.seeded.as_mut()?.discovery;
        if discovery.has_log() {
            return None;
        }
        let log_host = discovery.next_log_host();
        Some(log_host.map_or(CallReply::Unknown, CallReply::Redirect))
    }

    fn apply(&mut self, now: Duration, number: u64, body: Vec<u8>, tx: oneshot::Sender<CallReply>) {
        let digest = BodyDigest::of(&body);
        let req = ApplyConfig {
            number,
            digest,
            body,
        };
        if self
            .replica
            .machine()
            .config()
            .decided_reply(&req)
            .is_some()
        {
            // Already accepted or superseded; both are committed.
            let _caller_waits = tx.send(CallReply::Done);
            return;
        }
        let body = LeaderRequest::Propose(encode_op(&Op::ApplyConfig(req)));
        self.submit_call(now, body, tx);
    }

    /// Always proposes the order, also if the domain is as ordered here: this host may not have applied
    /// a later order yet.
    fn evacuate(
        &mut self,
        now: Duration,
        domain: DomainName,
        evacuated: bool,
        tx: oneshot::Sender<CallReply>,
    ) {
        if !self.is_known_domain(&domain) {
            let _caller_waits = tx.send(CallReply::UnknownDomain);
            return;
        }
        let order = SetEvacuation { domain, evacuated };
        let body = LeaderRequest::Evacuate(EvacuationOrder { order, known: 0 });
        self.submit_call(now, body, tx);
    }

    fn submit_call(&mut self, now: Duration, body: LeaderRequest, tx: oneshot::Sender<CallReply>) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let id = seeded.calls.open(tx);
        self.submit(now, Origin::Call(id), body);
    }

    /// Sends the control group's response to a call.
    pub(in crate::daemon::control) fn finish_call(&mut self, id: u64, response: &LeaderResponse) {
        let reply = match response {
            LeaderResponse::Proposed(Ok(bytes)) => self.reply_to_order(bytes),
            LeaderResponse::Proposed(Err(_))
            | LeaderResponse::NotLeader
            | LeaderResponse::Read(_)
            | LeaderResponse::Members(_) => CallReply::Unknown,
        };
        if let Some(seeded) = &mut self.seeded {
            seeded.calls.respond(id, reply);
        }
    }

    /// Sends the configuration to a read call, after its index is applied.
    pub(in crate::daemon::control) fn respond_to_read(&mut self, id: u64) {
        let accepted = self.replica.machine().config().in_force();
        if let Some(seeded) = &mut self.seeded {
            let calls = &mut seeded.calls;
            let config = accepted.map(|a| calls.share_config(a.digest.0, || encoded(a)));
            calls.respond(id, CallReply::Config(config));
        }
    }

    /// Handles an entry's query whether its configuration is the newest.
    pub(in crate::daemon::control) fn on_lease_query(
        &mut self,
        now: Duration,
        link: LinkId,
        id: u64,
        current: u64,
    ) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let query = LeaseQuery { link, id, current };
        if seeded.entries.queue_query(now, query) {
            self.submit(now, Origin::Leases, LeaderRequest::Read);
        }
    }

    /// Handles an entry's query where a stream began that is resumed at `service`.
    pub(in crate::daemon::control) fn find_stream(
        &self,
        now: Duration,
        link: LinkId,
        id: u64,
        stream: Option<u64>,
        service: &str,
    ) {
        let Some(seeded) = &self.seeded else {
            return;
        };
        let local = &self.bootstrap.local_hello().member;
        let origin = stream.and_then(|stream| seeded.origins.get(stream));
        let message = FromRelay::StreamFound {
            id,
            origin: origin.map(StreamOriginRecord::from),
            has_moved: stream.is_some_and(|stream| seeded.origins.has_moved(stream)),
            versions: seeded.version_report(now, local, service),
        };
        self.send_to_host(link, message);
    }

    /// Finishes the read for lease queries; they are only answered if it is `confirmed`.
    pub(in crate::daemon::control) fn finish_lease_read(&mut self, now: Duration, confirmed: bool) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let queries = seeded.entries.finish_read();
        let is_read_started = seeded.entries.start_read();
        if confirmed {
            self.respond_to_leases(now, &queries);
        }
        if is_read_started {
            self.submit(now, Origin::Leases, LeaderRequest::Read);
        }
    }

    fn respond_to_leases(&mut self, now: Duration, queries: &[LeaseQuery]) {
        self.push_config_to_entries(now);
        let number = self.replica.machine().config().number();
        for req in queries {
            self.send_to_host(req.link, FromRelay::Lease { id: req.id, number });
        }
    }

    /// Sends the configuration in force to the entries that have this host selected and an older one.
    /// The others get it from the host that they have selected, or when they select another.
    pub(in crate::daemon::control) fn push_config_to_entries(&mut self, now: Duration) {
        // The log may hold a newer one that is not applied here yet; it is sent once it is.
        let number = self.patches.number();
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let patches = &mut self.patches;
        let messages = seeded
            .entries
            .take_needing_config(now, number, |from| patches.message(from));
        for (link, message) in messages {
            if let Some(link) = self.links.get(link) {
                link.send_host(message);
            }
        }
    }

    fn reply_to_order(&self, bytes: &[u8]) -> CallReply {
        match decode_reply(bytes) {
            Ok(Reply::Config(
                ConfigReply::Accepted { .. }
                | ConfigReply::Conflict { .. }
                | ConfigReply::Stale { .. },
            ))
            | Ok(Reply::Evacuation(EvacuationReply::Done { .. })) => CallReply::Done,
            Ok(Reply::Evacuation(EvacuationReply::Superseded { by })) => {
                self.host
                    .log(&events::EVACUATION_SUPERSEDED, &[("by", &by)]);
                CallReply::Unknown
            }
            Ok(_) => CallReply::Unknown,
            Err(e) => {
                log::error!("failed to decode the control group's reply: {e}");
                CallReply::Unknown
            }
        }
    }
}
