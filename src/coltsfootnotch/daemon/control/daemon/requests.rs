//! Routes requests to the leader and responses back to their origin.

use std::time::Duration;

use coltsfootnotch_consensus::MemberChange;
use coltsfootnotch_state::Op;
use coltsfootnotch_types::HostName;
use coltsfootnotch_wire::{FromRelay, MembersError, ProposeError};

use super::ControlDaemon;
use crate::core::decode_op;
use crate::daemon::control::packet::{LeaderRequest, LeaderResponse, MemberPacket};
use crate::daemon::control::request_table::{Origin, RequestId, RequestState};
use crate::util::events;

impl ControlDaemon {
    /// Opens a request and dispatches it.
    pub(in crate::daemon::control) fn submit(
        &mut self,
        now: Duration,
        origin: Origin,
        body: LeaderRequest,
    ) {
        match self.requests.open(now, origin, body) {
            Ok(id) => self.dispatch(now, id),
            Err(response) => self.send_response(now, origin, response),
        }
    }

    /// Executes a request if this member leads, or forwards it to the leader. Without a known leader, or while
    /// it is held, it keeps waiting.
    fn dispatch(&mut self, now: Duration, id: RequestId) {
        if let Some(due) = self.requests.held_until(now, id) {
            self.maintenance_due = self.maintenance_due.min(due);
            return;
        }
        if self.is_abandoned(id) {
            self.requests.close(id);
            return self.host.log(&events::CALL_ABANDONED, &[]);
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let mut body = request.body.clone();
        if !matches!(request.origin, Origin::Member(..)) {
            body.set_known(self.replica.applied());
        }
        if self.replica.core().is_leader() {
            self.requests.set_state(now, id, RequestState::Local);
            return self.execute(now, id, body);
        }
        let Some(leader) = &self.leader else {
            return;
        };
        if let Some((link_id, link)) = self.links.control(&leader.host) {
            link.send_member(&MemberPacket::Request { id: id.0, body });
            self.requests
                .set_state(now, id, RequestState::Forwarded(link_id));
        }
    }

    /// Whether the caller of an HTTP call, or the operator who sent an unnumbered request, left before it was
    /// proposed. It may have sent the request to another host since, and withdrawn it there.
    fn is_abandoned(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        match (request.origin, &self.seeded) {
            (Origin::Call(call), Some(seeded)) => seeded.calls.is_abandoned(call),
            (Origin::Propose(link, _) | Origin::Members(link, _), _) => {
                request.body.is_unnumbered() && self.links.get(link).is_none()
            }
            _ => false,
        }
    }

    /// Executes a request as the leader.
    fn execute(&mut self, now: Duration, id: RequestId, body: LeaderRequest) {
        match body {
            LeaderRequest::Propose(bytes) => match decode_op(&bytes) {
                Ok(op) => self.replica.propose(now, id, op),
                Err(_) => {
                    let response = LeaderResponse::Proposed(Err(ProposeError::BadCommand));
                    self.complete(now, id, response);
                }
            },
            LeaderRequest::Read => self.replica.read(now, id),
            LeaderRequest::Evacuate(order) => self.replica.propose(now, id, Op::Evacuate(order)),
            LeaderRequest::Admit {
                host,
                replaces,
                known,
            } => {
                let change = self.addition(&host, replaces.as_ref());
                self.change(now, id, known, change);
            }
            LeaderRequest::Remove { host, known } => {
                let change = self.removal(host);
                self.change(now, id, known, change);
            }
        }
    }

    /// Changes the members, unless they were changed after the log index `known`: the request may be late.
    fn change(
        &mut self,
        now: Duration,
        id: RequestId,
        known: u64,
        change: Result<MemberChange, MembersError>,
    ) {
        let status = self.replica.core().status();
        let changed_at = status.members_index;
        // A change that isn't committed yet is left to the consensus core, which refuses others beside it.
        let is_late = changed_at.0 > known && changed_at <= status.commit;
        let outcome = if is_late {
            Err(MembersError::Changed)
        } else {
            change
        };
        match outcome {
            Ok(change) => self.replica.change(now, id, &change),
            Err(error) => self.complete(now, id, LeaderResponse::Members(Err(error))),
        }
    }

    /// The change that adds the member currently running on `host`.
    fn addition(
        &self,
        host: &HostName,
        replaces: Option<&HostName>,
    ) -> Result<MemberChange, MembersError> {
        let new_member = self.bootstrap.member_on(host).cloned();
        let member = new_member.ok_or_else(|| MembersError::NotConnected { host: host.clone() })?;
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
        Ok(MemberChange::Retire { member })
    }

    /// Handles the response to a request.
    pub(super) fn complete(&mut self, now: Duration, id: RequestId, response: LeaderResponse) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match (&response, request.origin) {
            // The request had no effect and can be retried; other members retry by themselves.
            (LeaderResponse::NotLeader, origin) if !matches!(origin, Origin::Member(..)) => {
                self.requests.set_state(now, id, RequestState::Waiting);
            }
            (LeaderResponse::Read(index), origin) if !matches!(origin, Origin::Member(..)) => {
                self.requests
                    .set_state(now, id, RequestState::Applying(*index));
                self.respond_to_applied_reads(now);
            }
            (_, origin) => {
                self.requests.close(id);
                self.send_response(now, origin, response);
            }
        }
    }

    /// Responds to reads whose index is applied by this member.
    pub(super) fn respond_to_applied_reads(&mut self, now: Duration) {
        for id in self.requests.applied(self.replica.applied()) {
            let origin = self.requests.close(id).map(|request| request.origin);
            match origin {
                Some(Origin::Confirm(link, id)) => {
                    let config = Ok(self.config_body());
                    self.send_to_host(link, FromRelay::ConfigConfirmed { id, config });
                }
                Some(Origin::Call(id)) => self.respond_to_read(id),
                Some(Origin::Leases) => self.finish_lease_read(now, true),
                Some(Origin::Propose(..) | Origin::Members(..) | Origin::Member(..)) | None => {}
            }
        }
    }

    /// Dispatches the requests that wait for a leader.
    pub(super) fn retry_waiting(&mut self, now: Duration) {
        for id in self.requests.waiting() {
            self.dispatch(now, id);
        }
    }

    /// Sends a response to the origin of its request.
    pub(super) fn send_response(
        &mut self,
        now: Duration,
        origin: Origin,
        response: LeaderResponse,
    ) {
        match origin {
            Origin::Member(link, id) => {
                if let Some(link) = self.links.get(link) {
                    link.send_member(&MemberPacket::Response { id, response });
                }
            }
            Origin::Call(id) => self.finish_call(id, &response),
            Origin::Leases => self.finish_lease_read(now, false),
            Origin::Propose(link, id) => {
                let reply = match response {
                    LeaderResponse::Proposed(reply) => reply,
                    _ => Err(ProposeError::NoQuorum),
                };
                self.send_to_host(link, FromRelay::Proposed { id, reply });
            }
            Origin::Confirm(link, id) => {
                let config = Err(ProposeError::NoQuorum);
                self.send_to_host(link, FromRelay::ConfigConfirmed { id, config });
            }
            Origin::Members(link, id) => {
                let outcome = match response {
                    LeaderResponse::Members(outcome) => outcome,
                    _ => Err(MembersError::NoQuorum),
                };
                self.send_to_host(link, FromRelay::Members { id, outcome });
            }
        }
    }
}
