//! Connections of an operator's client.

use std::collections::BTreeMap;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use coltsfootnotch_fabric::{Event, LinkId, LinkTx};
use coltsfootnotch_wire::{FromRelay, Message};

/// The connected control hosts, and the one that gets the next request.
pub(super) struct Links {
    events: mpsc::Receiver<Event>,
    up: BTreeMap<LinkId, LinkTx>,
    current: Option<LinkId>,
}

impl Links {
    pub(super) fn new(events: mpsc::Receiver<Event>) -> Self {
        Self {
            events,
            up: BTreeMap::new(),
            current: None,
        }
    }

    /// All connected control hosts.
    pub(super) fn all(&mut self) -> impl Iterator<Item = &LinkTx> {
        self.process_events();
        self.up.values()
    }

    /// Waits until a control host is connected; false on a timeout.
    pub(super) fn wait_connected(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        self.process_events();
        while self.up.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.events.recv_timeout(left) {
                Ok(event) => self.on_event(&event),
                Err(_) => return false,
            }
        }
        true
    }

    /// The control host that gets the next request.
    pub(super) fn current(&mut self, timeout: Duration) -> Option<(LinkId, LinkTx)> {
        if !self.wait_connected(timeout) {
            return None;
        }
        let connected = self.current.filter(|link| self.up.contains_key(link));
        let link = connected.or_else(|| self.up.keys().next().copied())?;
        self.current = Some(link);
        self.up.get(&link).map(|tx| (link, tx.clone()))
    }

    /// Selects another control host for the next request.
    pub(super) fn select_next(&mut self) {
        let next = self.current.and_then(|link| {
            self.up
                .range(link..)
                .map(|(id, _)| *id)
                .find(|id| *id != link)
        });
        self.current = next;
    }

    fn process_events(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            self.on_event(&event);
        }
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            Event::Up { link, tx, .. } => {
                self.up.insert(*link, tx.clone());
            }
            Event::Down { link, .. } => {
                self.up.remove(link);
            }
            _ => {}
        }
    }

    /// Waits for a reply; `None` on a timeout or when `link` is given and its connection is lost.
    pub(super) fn wait_reply<T>(
        &mut self,
        deadline: Instant,
        link: Option<LinkId>,
        pick: impl Fn(FromRelay) -> Option<T>,
    ) -> Option<T> {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.events.recv_timeout(left).ok()? {
                Event::Message {
                    message: Message::FromRelay(message),
                    ..
                } => {
                    if let Some(reply) = pick(message) {
                        return Some(reply);
                    }
                }
                event => self.on_event(&event),
            }
            if link.is_some_and(|link| !self.up.contains_key(&link)) {
                return None;
            }
        }
    }
}
