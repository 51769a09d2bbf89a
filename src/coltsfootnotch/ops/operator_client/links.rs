//! The connections of an operator's command.

use std::collections::BTreeMap;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use coltsfootnotch_fabric::{Event, LinkId, LinkTx};
use coltsfootnotch_wire::{FromRelay, Message};

/// The control hosts that are connected, and which of them is asked next.
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

    /// Every control host that is connected.
    pub(super) fn all(&mut self) -> impl Iterator<Item = &LinkTx> {
        self.take_news();
        self.up.values()
    }

    /// Waits until a control host is connected.
    pub(super) fn wait_for_one(&mut self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        self.take_news();
        while self.up.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            match self.events.recv_timeout(left) {
                Ok(event) => self.note(&event),
                Err(_) => return false,
            }
        }
        true
    }

    /// The control host to ask.
    pub(super) fn current(&mut self, patience: Duration) -> Option<(LinkId, LinkTx)> {
        if !self.wait_for_one(patience) {
            return None;
        }
        let chosen = self.current.filter(|link| self.up.contains_key(link));
        let link = chosen.or_else(|| self.up.keys().next().copied())?;
        self.current = Some(link);
        self.up.get(&link).map(|tx| (link, tx.clone()))
    }

    /// Another control host is asked next.
    pub(super) fn turn(&mut self) {
        let after = self.current.and_then(|link| {
            self.up
                .range(link..)
                .map(|(id, _)| *id)
                .find(|id| *id != link)
        });
        self.current = after;
    }

    fn take_news(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            self.note(&event);
        }
    }

    fn note(&mut self, event: &Event) {
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

    /// Waits for an answer, no longer than until the control host that was asked is gone.
    pub(super) fn wait_for<T>(
        &mut self,
        until: Instant,
        asked: Option<LinkId>,
        pick: impl Fn(FromRelay) -> Option<T>,
    ) -> Option<T> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.events.recv_timeout(left).ok()? {
                Event::Message {
                    message: Message::FromRelay(answer),
                    ..
                } => {
                    if let Some(answer) = pick(answer) {
                        return Some(answer);
                    }
                }
                event => self.note(&event),
            }
            if asked.is_some_and(|link| !self.up.contains_key(&link)) {
                return None;
            }
        }
    }
}
