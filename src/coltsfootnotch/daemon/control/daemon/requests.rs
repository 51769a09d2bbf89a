//! The way of a request to the leader, and of its answer back.

use std::time::Duration;

use coltsfootnotch_consensus::MemberChange;
use coltsfootnotch_types::HostName;
use coltsfootnotch_wire::{FromRelay, MembersError, ProposeError};

use super::ControlDaemon;
use crate::core::decode_op;
use crate::daemon::control::packet::{Answer, Ask, MemberPacket};
use crate::daemon::control::request_table::{Origin, Place, RequestId};

impl ControlDaemon {
    /// Takes a request in.
    pub(in crate::daemon::control) fn request(&mut self, now: Duration, origin: Origin, ask: Ask) {
        match self.requests.open(now, origin, ask) {
            Ok(id) => self.dispatch(now, id),
            Err(answer) => self.deliver(now, origin, answer),
        }
    }

    /// Sends a request to the leader, wherever it is; without one the request goes on waiting.
    fn dispatch(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if self.replica.core().is_leader() {
            let ask = request.ask.clone();
            self.requests.put(now, id, Place::Here);
            return self.lead(now, id, ask);
        }
        let Some(leader) = &self.leader else {
            return;
        };
        if let Some((link_id, link)) = self.links.control(&leader.host) {
            let ask = request.ask.clone();
            link.send_member(&MemberPacket::Ask { id: id.0, ask });
            self.requests.put(now, id, Place::Sent(link_id));
        }
    }

    /// Does as the leader what was asked.
    fn lead(&mut self, now: Duration, id: RequestId, ask: Ask) {
        match ask {
            Ask::Propose(bytes) => match decode_op(&bytes) {
                Ok(op) => self.replica.propose(now, id, op),
                Err(_) => {
                    let answer = Answer::Proposed(Err(ProposeError::BadCommand));
                    self.done(now, id, answer);
                }
            },
            Ask::Read => self.replica.read(now, id),
            Ask::Admit { host, replaces } => match self.admission(&host, replaces.as_ref()) {
                Ok(change) => self.replica.change(now, id, &change),
                Err(error) => self.done(now, id, Answer::Members(Err(error))),
            },
            Ask::Remove { host } => match self.removal(host) {
                Ok(change) => self.replica.change(now, id, &change),
                Err(error) => self.done(now, id, Answer::Members(Err(error))),
            },
        }
    }

    /// The change that admits the member which runs on `host` now.
    fn admission(
        &self,
        host: &HostName,
        replaces: Option<&HostName>,
    ) -> Result<MemberChange, MembersError> {
        let newcomer = self.founding.member_on(host).cloned();
        let member = newcomer.ok_or_else(|| MembersError::NotConnected { host: host.clone() })?;
        let members = self.replica.core().status().members;
        let replaces = match replaces {
            Some(old) => {
                let voter = members.voters.into_iter().find(|m| m.host == *old);
                Some(voter.ok_or_else(|| MembersError::NotMember { host: old.clone() })?)
            }
            None => None,
        };
        if replaces.as_ref() == Some(&member) {
            return Err(MembersError::AlreadyMember { host: host.clone() });
        }
        Ok(MemberChange::Add { member, replaces })
    }

    fn removal(&self, host: HostName) -> Result<MemberChange, MembersError> {
        let members = self.replica.core().status().members;
        let member = members.all().find(|m| m.host == host).cloned();
        let member = member.ok_or(MembersError::NotMember { host })?;
        Ok(MemberChange::Remove { member })
    }

    /// Takes the answer to a request.
    pub(super) fn done(&mut self, now: Duration, id: RequestId, answer: Answer) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match (&answer, request.origin) {
            // Nothing was done, so it can be asked again; a member asks by itself.
            (Answer::NotLeader, origin) if !matches!(origin, Origin::Member(..)) => {
                self.requests.put(now, id, Place::Waiting);
            }
            (Answer::Read(index), origin) if !matches!(origin, Origin::Member(..)) => {
                self.requests.put(now, id, Place::Applying(*index));
                self.answer_applied(now);
            }
            (_, origin) => {
                self.requests.close(id);
                self.deliver(now, origin, answer);
            }
        }
    }

    /// Answers the reads whose state is applied here.
    pub(super) fn answer_applied(&mut self, now: Duration) {
        for id in self.requests.applied(self.replica.applied()) {
            let origin = self.requests.close(id).map(|request| request.origin);
            match origin {
                Some(Origin::Confirm(link, id)) => {
                    let config = Ok(self.config_body());
                    self.tell(link, FromRelay::ConfigConfirmed { id, config });
                }
                Some(Origin::Call(id)) => self.answer_read_call(id),
                Some(Origin::Leases) => self.end_lease_read(now, true),
                Some(Origin::Propose(..) | Origin::Members(..) | Origin::Member(..)) | None => {}
            }
        }
    }

    /// Sends the requests that waited for a leader.
    pub(super) fn retry_waiting(&mut self, now: Duration) {
        for id in self.requests.waiting() {
            self.dispatch(now, id);
        }
    }

    /// Gives an answer to whoever asked.
    pub(super) fn deliver(&mut self, now: Duration, origin: Origin, answer: Answer) {
        match origin {
            Origin::Member(link, id) => {
                if let Some(link) = self.links.get(link) {
                    link.send_member(&MemberPacket::Answer { id, answer });
                }
            }
            Origin::Call(id) => self.answer_call(id, &answer),
            Origin::Leases => self.end_lease_read(now, false),
            Origin::Propose(link, id) => {
                let reply = match answer {
                    Answer::Proposed(reply) => reply,
                    _ => Err(ProposeError::NoQuorum),
                };
                self.tell(link, FromRelay::Proposed { id, reply });
            }
            Origin::Confirm(link, id) => {
                let config = Err(ProposeError::NoQuorum);
                self.tell(link, FromRelay::ConfigConfirmed { id, config });
            }
            Origin::Members(link, id) => {
                let outcome = match answer {
                    Answer::Members(outcome) => outcome,
                    _ => Err(MembersError::NoQuorum),
                };
                self.tell(link, FromRelay::Members { id, outcome });
            }
        }
    }
}
