//! Connections that come and go, and whose messages go where.

use std::time::Duration;

use coltsfootnotch_fabric::{Event, LinkId, PeerId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::Message;

use super::ControlDaemon;
use crate::util::events;

impl ControlDaemon {
    pub(super) fn on_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::Up {
                link,
                peer,
                incarnation,
                tx,
            } => {
                self.host.log(&events::LINK_UP, &[("peer", &peer)]);
                let (role, host) = (peer.role, peer.host.clone());
                self.links.add(link, peer, incarnation, tx);
                if role == Role::Control {
                    self.greet(link);
                } else if role == Role::Entry
                    && let Some(seeded) = &mut self.seeded
                {
                    seeded.followers.add(link, host);
                    self.tell_all(link);
                }
            }
            Event::Message {
                link,
                peer,
                message,
            } => self.on_message(now, link, &peer, message),
            // Control hosts run no attempts.
            Event::Stream { stream, .. } => drop(stream),
            Event::Forbidden { peer } => self.forbidden(&peer, "role"),
            Event::Down { link, peer } => self.on_down(now, link, &peer),
        }
    }

    fn on_message(&mut self, now: Duration, link: LinkId, peer: &PeerId, message: Message) {
        match message {
            Message::ToRelay(message) => self.on_host(now, link, peer, message),
            Message::Member(bytes) => self.on_member(now, link, peer, &bytes),
            Message::BetweenRelays(bytes) => self.on_relay(now, link, peer, &bytes),
            // Allowed for the sender's role, but not meant for a control host.
            Message::ToSidecar(_) | Message::FromSidecar(_) | Message::FromRelay(_) => {
                self.forbidden(peer, "receiver");
            }
        }
    }

    fn on_down(&mut self, now: Duration, link: LinkId, peer: &PeerId) {
        self.host.log(&events::LINK_DOWN, &[("peer", peer)]);
        if self.links.remove(link).is_none() {
            return;
        }
        if peer.role == Role::Control && !self.links.has_control(&peer.host) {
            self.founding.lose(&peer.host);
            if let Some(seeded) = &mut self.seeded {
                seeded.finding.lose(now, &peer.host);
            }
        }
        if let Some(seeded) = &mut self.seeded {
            seeded.followers.remove(link);
        }
        for request in self.requests.sent_over(link) {
            if let Some((request, answer)) = self.requests.lose(request) {
                self.deliver(now, request.origin, answer);
            }
        }
    }

    /// Counts and reports what a peer may not do.
    pub(super) fn forbidden(&self, peer: &PeerId, what: &'static str) {
        self.host.log(
            &events::MESSAGE_FORBIDDEN,
            &[("peer", peer), ("why", &what)],
        );
    }
}
