//! Handles messages from other control hosts.

use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Message as LogMessage};
use coltsfootnotch_fabric::{LinkId, PeerId};

use super::ControlDaemon;
use crate::daemon::control::packet::{
    LeaderRequest, LeaderResponse, LoadPart, MemberHello, MemberPacket, RelayPacket,
};
use crate::daemon::control::request_table::{Origin, RequestId};

impl ControlDaemon {
    /// Sends the first packet on a connection to another control host.
    pub(super) fn send_hello(&mut self, link: LinkId) {
        let hello = self.local_hello();
        if let Some(link) = self.links.get(link) {
            link.send_member(&MemberPacket::Hello(hello));
        }
    }

    pub(super) fn on_member_packet(
        &mut self,
        now: Duration,
        link: LinkId,
        peer: &PeerId,
        bytes: &[u8],
    ) {
        let Ok(packet) = postcard::from_bytes(bytes) else {
            return self.log_forbidden(peer, "packet");
        };
        match packet {
            MemberPacket::Hello(hello) if hello.member.host == peer.host => {
                self.on_hello(now, hello);
            }
            MemberPacket::Log { from, msg } if from.host == peer.host => {
                self.replica.core_mut().step(now, &from, msg);
            }
            // Prevents a member from voting in the name of another host.
            MemberPacket::Hello(_) | MemberPacket::Log { .. } => {
                self.log_forbidden(peer, "packet of another host");
            }
            MemberPacket::UpstreamLeft { id, born_ms } => {
                self.record_upstream_left(now, &id, born_ms);
            }
            MemberPacket::Load(part) => self.on_load_part(now, link, peer, &part),
            MemberPacket::Request { id, body } => self.on_member_request(now, link, id, body),
            MemberPacket::Response { id, response } => {
                let request = RequestId(id);
                if self.requests.is_forwarded_over(link, request) {
                    self.complete(now, request, response);
                }
            }
        }
    }

    /// Handles the load of another control host's entries.
    fn on_load_part(&mut self, now: Duration, link: LinkId, peer: &PeerId, part: &LoadPart) {
        let Ok(changes) = postcard::from_bytes(&part.load) else {
            return self.log_forbidden(peer, "load");
        };
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        seeded.record_crashes(now, &part.crashes);
        seeded.origins.record_report(now, &part.streams);
        seeded
            .load
            .record_part(now, link, &peer.host, part.entries, changes);
    }

    fn on_hello(&mut self, now: Duration, hello: MemberHello) {
        let host = hello.member.host.clone();
        if let (Some(seeded), Some(seeded_hello)) = (&mut self.seeded, hello.seeded.clone())
            && seeded.discovery.record_hello(now, &host, seeded_hello)
        {
            let message = seeded.control_hosts(&self.host.identity.domain);
            self.broadcast_to_entries(&message);
            self.broadcast_hello();
        }
        self.bootstrap.record_hello(hello);
    }

    /// Executes a request of another member if this one leads. Requests are never forwarded again, since
    /// they could loop during an election.
    fn on_member_request(&mut self, now: Duration, link: LinkId, id: u64, body: LeaderRequest) {
        let origin = Origin::Member(link, id);
        if self.replica.core().is_leader() {
            self.submit(now, origin, body);
        } else {
            self.send_response(now, origin, LeaderResponse::NotLeader);
        }
    }

    pub(super) fn on_relay_packet(
        &mut self,
        now: Duration,
        link: LinkId,
        peer: &PeerId,
        bytes: &[u8],
    ) {
        let packet = postcard::from_bytes::<RelayPacket>(bytes);
        let merged = packet.is_ok_and(|p| self.relay.merge(now, &peer.host, &p));
        if !merged {
            self.log_forbidden(peer, "relay packet");
            if let Some(link) = self.links.get(link) {
                link.close();
            }
        }
    }

    pub(super) fn send_log(&self, to: &MemberId, msg: LogMessage) {
        let Some((_, link)) = self.links.control(&to.host) else {
            return;
        };
        let from = self.bootstrap.local_hello().member.clone();
        link.send_member(&MemberPacket::Log { from, msg });
    }
}
