//! What other control hosts send.

use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Message as LogMessage};
use coltsfootnotch_fabric::{LinkId, PeerId};

use super::ControlDaemon;
use crate::daemon::control::packet::{Answer, Ask, MemberHello, MemberPacket, RelayPacket};
use crate::daemon::control::request_table::{Origin, RequestId};

impl ControlDaemon {
    /// The first words on a connection to another control host.
    pub(super) fn greet(&mut self, link: LinkId) {
        let hello = self.own_hello();
        if let Some(link) = self.links.get(link) {
            link.send_member(&MemberPacket::Hello(hello));
        }
    }

    pub(super) fn on_member(&mut self, now: Duration, link: LinkId, peer: &PeerId, bytes: &[u8]) {
        let Ok(packet) = postcard::from_bytes(bytes) else {
            return self.forbidden(peer, "packet");
        };
        match packet {
            MemberPacket::Hello(hello) if hello.member.host == peer.host => {
                self.on_hello(now, hello);
            }
            MemberPacket::Log { from, msg } if from.host == peer.host => {
                self.replica.core_mut().step(now, &from, msg);
            }
            // A member that speaks for another host could vote in its name.
            MemberPacket::Hello(_) | MemberPacket::Log { .. } => {
                self.forbidden(peer, "packet of another host");
            }
            MemberPacket::UpstreamLeft { id, born_ms } => {
                self.note_left(now, &id, born_ms);
            }
            MemberPacket::Ask { id, ask } => self.on_ask(now, link, id, ask),
            MemberPacket::Answer { id, answer } => {
                let request = RequestId(id);
                if self.requests.is_sent_over(link, request) {
                    self.done(now, request, answer);
                }
            }
        }
    }

    fn on_hello(&mut self, now: Duration, hello: MemberHello) {
        let host = hello.member.host.clone();
        if let (Some(seeded), Some(said)) = (&mut self.seeded, hello.seeded.clone())
            && seeded.finding.hear(now, &host, said)
        {
            let told = seeded.control_hosts();
            self.tell_followers(&told);
            self.say_hello();
        }
        self.founding.hear(hello);
    }

    /// Another member takes this one for the leader. If it is not, the asker looks for the leader
    /// itself: passed on, a request could go round in circles during an election.
    fn on_ask(&mut self, now: Duration, link: LinkId, id: u64, ask: Ask) {
        let origin = Origin::Member(link, id);
        if self.replica.core().is_leader() {
            self.request(now, origin, ask);
        } else {
            self.deliver(now, origin, Answer::NotLeader);
        }
    }

    pub(super) fn on_relay(&mut self, now: Duration, link: LinkId, peer: &PeerId, bytes: &[u8]) {
        let packet = postcard::from_bytes::<RelayPacket>(bytes);
        let merged = packet.is_ok_and(|p| self.relay.merge(now, &peer.host, &p));
        if !merged {
            self.forbidden(peer, "relay packet");
            if let Some(link) = self.links.get(link) {
                link.close();
            }
        }
    }

    pub(super) fn send_log(&self, to: &MemberId, msg: LogMessage) {
        let Some((_, link)) = self.links.control(&to.host) else {
            return;
        };
        let from = self.founding.hello().member.clone();
        link.send_member(&MemberPacket::Log { from, msg });
    }
}
