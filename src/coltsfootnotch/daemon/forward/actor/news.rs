//! What control hosts tell a forwarding entry.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_fabric::{Event, LinkId};
use coltsfootnotch_forward::config::ForwardConfig;
use coltsfootnotch_forward::registry::{Announcement, RegistryUpdate};
use coltsfootnotch_wire::{ConfigBody, FromRelay, Message, UpstreamWord};

use super::ForwardActor;
use crate::util::events;

impl ForwardActor {
    pub(super) fn on_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::Up { link, peer, tx, .. } => {
                self.cx.log(&events::LINK_UP, &[("peer", &peer)]);
                self.links.up(link, peer, tx);
                self.log_followed(link);
            }
            Event::Down { link, peer } => {
                self.cx.log(&events::LINK_DOWN, &[("peer", &peer)]);
                self.links.down(link);
            }
            Event::Message {
                link,
                message: Message::FromRelay(message),
                ..
            } => self.on_control(now, link, message),
            Event::Message { peer, .. } | Event::Forbidden { peer } => {
                self.cx.log(&events::MESSAGE_FORBIDDEN, &[("peer", &peer)]);
            }
            // Control hosts open no streams to an entry.
            Event::Stream { stream, .. } => drop(stream),
        }
    }

    fn log_followed(&self, link: LinkId) {
        if let Some((followed, peer)) = self.links.followed()
            && followed == link
        {
            self.cx.log(&events::FOLLOWED, &[("peer", peer)]);
        }
    }

    fn on_control(&mut self, now: Duration, link: LinkId, message: FromRelay) {
        match message {
            FromRelay::Upstreams(words) => self.take_upstreams(now, words),
            FromRelay::UpstreamsAlive(signs) => {
                self.heard_upstreams = now;
                for sign in signs {
                    self.state
                        .registry
                        .refresh(now, &sign.id, sign.born_ms, sign.sequence);
                }
            }
            FromRelay::UpstreamLeft { id, born_ms } => {
                self.state.registry.mark_left(now, &id, born_ms);
                self.cx.log(&events::UPSTREAM_LEAVING, &[("upstream", &id)]);
            }
            FromRelay::Fleet { entries, load } => {
                let config = self.config.borrow().clone();
                self.state
                    .take_fleet(now, entries, &load, config.as_deref());
            }
            FromRelay::Lease { id, number, newer } => {
                if let Some(body) = newer {
                    self.take_config(&body);
                }
                if let Some(asked) = self.links.answered(id) {
                    self.state.lease.renew(asked, number);
                    self.watch_lease();
                }
            }
            FromRelay::Config(body) => self.take_config(&body),
            FromRelay::ControlHosts {
                keeps_log,
                addresses,
            } => {
                self.links.set_told(&self.endpoint, &addresses);
                if !keeps_log {
                    self.links.do_not_follow(link);
                }
            }
            // What only hosts of other roles are told.
            FromRelay::Directory { .. }
            | FromRelay::ServiceApplied { .. }
            | FromRelay::Totals { .. }
            | FromRelay::ConfigDelta { .. }
            | FromRelay::ConfigConfirmed { .. }
            | FromRelay::Proposed { .. }
            | FromRelay::Status { .. }
            | FromRelay::Members { .. } => {}
        }
    }

    fn take_upstreams(&mut self, now: Duration, words: Vec<UpstreamWord>) {
        if !words.is_empty() {
            self.heard_upstreams = now;
        }
        for word in words {
            let said = Announcement::from(word);
            let news = self.state.announced(now, said.clone());
            if news == RegistryUpdate::Changed {
                self.cx.log(
                    &events::UPSTREAM_ANNOUNCED,
                    &[
                        ("upstream", &said.id),
                        ("service", &said.service),
                        ("sequence", &said.sequence),
                        ("stage", &format!("{:?}", said.stage)),
                    ],
                );
            }
        }
    }

    /// Takes a configuration; one that is not newer than the one in force changes nothing.
    fn take_config(&mut self, body: &ConfigBody) {
        if body.number <= self.number {
            return;
        }
        let config: ForwardConfig = match (self.dialect.decode_config)(&body.body) {
            Ok(config) => config,
            Err(e) => {
                self.cx.log(
                    &events::CONFIG_REFUSED,
                    &[("number", &body.number), ("error", &e)],
                );
                return;
            }
        };
        let before = self.number;
        self.number = body.number;
        self.config.send_replace(Some(Arc::new(config)));
        self.cx.log(
            &events::CONFIG_IN_FORCE,
            &[("number", &body.number), ("before", &before)],
        );
    }
}
