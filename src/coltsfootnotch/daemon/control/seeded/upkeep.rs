//! What a control host that finds the others does by time, and with calls.

use std::time::Duration;

use coltsfootnotch_consensus::MemberChange;
use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::load::reporting_period;
use coltsfootnotch_state::{ApplyConfig, BodyDigest, ConfigReply, Op, Reply};
use coltsfootnotch_wire::FromRelay;
use tokio::sync::oneshot;

use super::followers::LeaseAsk;
use super::founding::{NotFounding, Seen};
use super::members::GroupView;
use super::{Call, CallReply};
use crate::core::{decode_reply, encode_op};
use crate::daemon::control::daemon::ControlDaemon;
use crate::daemon::control::packet::{Answer, Ask};
use crate::daemon::control::request_table::Origin;
use crate::util::events;

/// Time kept between two rounds for each upstream in each message of the round. One takes some 25
/// bytes and 2 microseconds, so a control host spends at most a megabyte and a tenth of a core a second on
/// them, however large the fleet; in a very large one entries hear of each other late.
const USE_TIME: Duration = Duration::from_micros(25);

/// Between two lines that tell why there is no group yet. A fleet that starts has one within a second.
pub(super) const SAY_WAITING_EVERY: Duration = Duration::from_secs(2);

impl ControlDaemon {
    /// Finds hosts, founds the group, changes its members.
    pub(in crate::daemon::control) fn upkeep_seeded(&mut self, now: Duration) {
        if self.seeded.is_none() {
            return;
        }
        self.dial_wanted(now);
        self.found_seeded(now);
        self.change_members(now);
        self.expire_upstreams(now);
        self.tell_alive(now);
    }

    /// Tells entries what the others do, when it is due.
    pub(in crate::daemon::control) fn tell_fleet(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        if now < seeded.fleet_due {
            return;
        }
        let links = &self.links;
        let tell = |link, message| {
            if let Some(link) = links.get(link) {
                link.send_host(message);
            }
        };
        let used = seeded.followers.tell_each(now, tell);
        let entries = seeded.followers.fleet.entries(now);
        let period =
            reporting_period(entries).max(USE_TIME * u32::try_from(used).unwrap_or(u32::MAX));
        seeded.fleet_due = now + period;
    }

    fn dial_wanted(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let wanted = seeded.finding.wanted(now);
        self.dials.keep(&self.endpoint, &wanted);
        if let Some(addresses) = seeded.finding.to_keep(now) {
            self.disk.keep_addresses(addresses);
        }
    }

    fn found_seeded(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let own_hello = seeded.finding.hello();
        let own = self.founding.hello();
        if !own.empty {
            return;
        }
        let own = Seen {
            member: &own.member,
            empty: own.empty,
            hello: &own_hello,
        };
        let founding = &self.founding;
        let others = seeded.finding.connected().filter_map(|(host, hello)| {
            let said = founding.hello_of(host)?;
            Some(Seen {
                member: &said.member,
                empty: said.empty,
                hello,
            })
        });
        let due = seeded.founding.due(now, own, others);
        match due {
            Ok(members) => self.found(now, members),
            Err(why) => self.wait_for_group(now, &why),
        }
    }

    /// Tells now and then why there is no group yet: without one no configuration is ever accepted.
    fn wait_for_group(&mut self, now: Duration, why: &NotFounding) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        if now < seeded.waiting_due {
            return;
        }
        seeded.waiting_due = now + SAY_WAITING_EVERY;
        let connected = seeded.finding.connected().count();
        self.host.log(
            &events::NO_GROUP_YET,
            &[("reason", why), ("control_hosts", &connected)],
        );
    }

    fn change_members(&mut self, now: Duration) {
        let members = self.replica.core().status().members;
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let own = &self.founding.hello().member;
        let others = self.founding.seeded_others();
        seeded.contact.note(now, &members, own, others);
        if !self.replica.core().is_leader() {
            return;
        }
        let view = GroupView {
            members: &members,
            peers: &self.replica.core().peers(),
            contact: &seeded.contact,
        };
        let Some(change) = view.next_change(now) else {
            return;
        };
        // Refused while an earlier change is not finished; the next round tries again.
        if self.replica.core_mut().change_members(now, &change).is_ok() {
            self.log_change(&change);
        }
    }

    fn log_change(&self, change: &MemberChange) {
        let (what, member, replaces) = match change {
            MemberChange::Add { member, replaces } => ("add", member, replaces.as_ref()),
            MemberChange::Promote { member, replaces } => ("promote", member, replaces.as_ref()),
            MemberChange::Remove { member } => ("remove", member, None),
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

    /// An operator or an upstream calls.
    pub(in crate::daemon::control) fn on_call(
        &mut self,
        now: Duration,
        call: Call,
        tx: oneshot::Sender<CallReply>,
    ) {
        if let Some(elsewhere) = self.elsewhere() {
            let _caller_waits = tx.send(elsewhere);
            return;
        }
        match call {
            Call::Announce(said) => {
                self.announced(now, said);
                let _caller_waits = tx.send(CallReply::Done);
            }
            Call::Leave { id, born_ms } => {
                self.left(now, &id, born_ms);
                let _caller_waits = tx.send(CallReply::Done);
            }
            Call::Apply { number, body } => self.apply(now, number, body, tx),
            Call::Read => self.ask_group(now, Ask::Read, tx),
        }
    }

    /// The answer of a host that keeps no log: who does.
    fn elsewhere(&mut self) -> Option<CallReply> {
        let finding = &mut self.seeded.as_mut()?.finding;
        if finding.keeps_log() {
            return None;
        }
        let keeper = finding.next_keeper();
        Some(keeper.map_or(CallReply::Unknown, CallReply::Elsewhere))
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
            // Accepted before, or overtaken by what was: either is committed.
            let _caller_waits = tx.send(CallReply::Done);
            return;
        }
        let ask = Ask::Propose(encode_op(&Op::ApplyConfig(req)));
        self.ask_group(now, ask, tx);
    }

    fn ask_group(&mut self, now: Duration, ask: Ask, tx: oneshot::Sender<CallReply>) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let id = seeded.calls.open(tx);
        self.request(now, Origin::Call(id), ask);
    }

    /// The control group's answer to a call.
    pub(in crate::daemon::control) fn answer_call(&mut self, id: u64, answer: &Answer) {
        let reply = match answer {
            Answer::Proposed(Ok(bytes)) => reply_to_apply(bytes),
            Answer::Proposed(Err(_)) | Answer::NotLeader | Answer::Read(_) | Answer::Members(_) => {
                CallReply::Unknown
            }
        };
        if let Some(seeded) = &mut self.seeded {
            seeded.calls.answer(id, reply);
        }
    }

    /// What was read for a call is applied here.
    pub(in crate::daemon::control) fn answer_read_call(&mut self, id: u64) {
        let config = self.config_body();
        if let Some(seeded) = &mut self.seeded {
            seeded.calls.answer(id, CallReply::Config(config));
        }
    }

    /// An entry asks whether its configuration is the newest.
    pub(in crate::daemon::control) fn on_lease_ask(
        &mut self,
        now: Duration,
        link: LinkId,
        id: u64,
        have: u64,
    ) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        if seeded.followers.ask(LeaseAsk { link, id, have }) {
            self.request(now, Origin::Leases, Ask::Read);
        }
    }

    /// The read for questions of entries is over; `confirmed` tells how.
    pub(in crate::daemon::control) fn end_lease_read(&mut self, now: Duration, confirmed: bool) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let asks = seeded.followers.end_read();
        let goes_on = seeded.followers.begin_read();
        if confirmed {
            self.answer_leases(&asks);
        }
        if goes_on {
            self.request(now, Origin::Leases, Ask::Read);
        }
    }

    fn answer_leases(&self, asks: &[LeaseAsk]) {
        let number = self.replica.machine().config().number();
        for ask in asks {
            let newer = (ask.have < number).then(|| self.config_body()).flatten();
            let id = ask.id;
            self.tell(ask.link, FromRelay::Lease { id, number, newer });
        }
    }
}

fn reply_to_apply(bytes: &[u8]) -> CallReply {
    match decode_reply(bytes) {
        Ok(Reply::Config(
            ConfigReply::Accepted { .. } | ConfigReply::Conflict { .. } | ConfigReply::Stale { .. },
        )) => CallReply::Done,
        Ok(_) => CallReply::Unknown,
        Err(e) => {
            log::error!("the control group's reply can't be read: {e}");
            CallReply::Unknown
        }
    }
}
