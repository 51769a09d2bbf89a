//! Handles connection events and dispatches received messages.

use std::time::Duration;

use coltsfootnotch_fabric::{Event, LinkId, PeerId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{FromRelay, Message};

use super::ControlDaemon;
use crate::util::events;

impl ControlDaemon {
    pub(super) fn on_fabric_event(&mut self, now: Duration, event: Event) {
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
                    self.send_hello(link);
                } else if role == Role::Entry
                    && let Some(seeded) = &mut self.seeded
                {
                    let of_host = seeded.entries.links_of(&host);
                    let is_ended = |link: &LinkId| {
                        let link = self.links.get(*link);
                        link.is_some_and(|link| link.incarnation != incarnation)
                    };
                    let ended: Vec<_> = of_host.filter(is_ended).collect();
                    seeded.remove_entries(now, &ended);
                    seeded.entries.add(link, host.clone());
                    // Before the upstreams, so that no request is repeated without it.
                    if let Some(history) = seeded.retry_history(now, &host, incarnation) {
                        self.send_to_host(link, FromRelay::RetryHistory(history));
                    }
                    self.send_initial_state(link);
                }
            }
            Event::Message {
                link,
                peer,
                message,
                ..
            } => self.on_message(now, link, &peer, message),
            // Control hosts don't run attempts.
            Event::Stream { stream, .. } => drop(stream),
            Event::Forbidden { peer } => self.log_forbidden(&peer, "role"),
            Event::Down { link, peer } => self.on_down(now, link, &peer),
        }
    }

    fn on_message(&mut self, now: Duration, link: LinkId, peer: &PeerId, message: Message) {
        match message {
            Message::ToRelay(message) => self.on_host_message(now, link, peer, message),
            Message::Member(bytes) => self.on_member_packet(now, link, peer, &bytes),
            Message::BetweenRelays(bytes) => self.on_relay_packet(now, link, peer, &bytes),
            // The sender's role permits these, but a control host is not their receiver.
            Message::ToSidecar(_) | Message::FromSidecar(_) | Message::FromRelay(_) => {
                self.log_forbidden(peer, "receiver");
            }
        }
    }

    fn on_down(&mut self, now: Duration, link: LinkId, peer: &PeerId) {
        self.host.log(&events::LINK_DOWN, &[("peer", peer)]);
        if self.links.remove(link).is_none() {
            return;
        }
        if peer.role == Role::Control && !self.links.has_control(&peer.host) {
            self.bootstrap.remove_host(&peer.host);
            if let Some(seeded) = &mut self.seeded {
                seeded.discovery.remove_host(now, &peer.host);
                seeded.retries.on_control_host_lost(now);
            }
        }
        let is_connected = self.links.has_control(&peer.host);
        if let Some(seeded) = &mut self.seeded {
            seeded.entries.remove(link);
            seeded.load.remove_entry(link);
            seeded.load.remove_member(link, &peer.host, is_connected);
        }
        for request in self.requests.forwarded_over(link) {
            if let Some((request, response)) = self.requests.abort(request) {
                self.send_response(now, request.origin, response);
            }
        }
    }

    /// Logs a message that the peer is not permitted to send.
    pub(super) fn log_forbidden(&self, peer: &PeerId, what: &'static str) {
        self.host.log(
            &events::MESSAGE_FORBIDDEN,
            &[("peer", peer), ("why", &what)],
        );
    }
}
