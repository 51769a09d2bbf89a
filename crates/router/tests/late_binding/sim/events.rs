//! Events of the simulation and their handlers.

use std::time::Duration;

use coltsfootnotch_router::{EntryAction, SidecarAction};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{NotStartedReason, prelude::*};
use rand::Rng;

use super::entry::domain;
use super::{Outcome, Sim, Stage};

#[derive(Clone)]
pub(crate) enum Event {
    Tick(u64),
    Arrive(usize),
    Connected {
        e: usize,
        s: usize,
        link: u64,
        entry_first: bool,
    },
    Disconnected {
        e: usize,
        s: usize,
        link: u64,
        at_entry: bool,
    },
    ToSidecar {
        e: usize,
        s: usize,
        link: u64,
        message: ToSidecar,
    },
    FromSidecar {
        e: usize,
        s: usize,
        link: u64,
        message: FromSidecar,
    },
    Committed {
        e: usize,
        run: Incarnation,
        s: usize,
        link: u64,
        open: Box<OpenAttempt>,
    },
    Open {
        e: usize,
        s: usize,
        link: u64,
        open: Box<OpenAttempt>,
    },
    NotStarted {
        e: usize,
        link: u64,
        attempt: AttemptId,
        reason: NotStartedReason,
    },
    Done {
        e: usize,
        link: u64,
        attempt: AttemptId,
    },
    FirstChunk {
        s: usize,
        run: Incarnation,
        attempt: AttemptId,
    },
    Finish {
        s: usize,
        run: Incarnation,
        attempt: AttemptId,
    },
}

impl Sim {
    pub(crate) fn schedule(&mut self, time: Duration, event: Event) {
        let number = self.next_number();
        self.events.insert((time, number), event);
    }

    pub(super) fn delay(&mut self) -> Duration {
        let (least, greatest) = self.options.delay;
        Duration::from_micros(self.rng.random_range(least..=greatest))
    }

    /// Arrival of a control message that is sent now, never before that of the previous one.
    fn ordered_arrival(&mut self, e: usize, s: usize, way: usize) -> Duration {
        let at = self.now + self.delay();
        let last = &mut self.links[e][s].last[way];
        *last = at.max(*last);
        *last
    }

    pub(crate) fn schedule_arrival(&mut self, source: usize) {
        if let Some(gap) = self.sources[source].draw_gap() {
            self.schedule(self.now + gap, Event::Arrive(source));
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(count) => self.tick(count),
            Event::Arrive(source) => {
                if self.sources[source].rate > 0.0 {
                    self.submit(source);
                    self.schedule_arrival(source);
                }
            }
            Event::Connected {
                e,
                s,
                link,
                entry_first,
            } => self.on_connected(e, s, link, entry_first),
            Event::Disconnected {
                e,
                s,
                link,
                at_entry,
            } => self.on_disconnected(e, s, link, at_entry),
            Event::ToSidecar {
                e,
                s,
                link,
                message,
            } => {
                if !self.links[e][s].cut && self.links[e][s].at_sidecar == link {
                    let from = self.entries[e].host.clone();
                    self.sidecars[s].core.on_message(now, &from, message);
                    self.run_sidecar(s);
                }
            }
            Event::FromSidecar {
                e,
                s,
                link,
                message,
            } => {
                if !self.links[e][s].cut && self.links[e][s].at_entry == link {
                    let from = self.sidecars[s].host.clone();
                    self.entries[e].core.on_message(now, &from, message);
                    self.run_entry(e);
                }
            }
            Event::Committed {
                e,
                run,
                s,
                link,
                open,
            } => {
                self.on_committed(e, run, s, link, open);
            }
            Event::Open { e, s, link, open } => self.on_open(e, s, link, &open),
            Event::NotStarted {
                e,
                link,
                attempt,
                reason,
            } => {
                self.on_not_started(e, link, attempt, reason);
            }
            Event::Done { e, link, attempt } => {
                if self.is_running(e, attempt, link) {
                    self.entries[e].requests.remove(&attempt.request);
                    self.log.end(attempt.request, Outcome::Done);
                }
            }
            Event::FirstChunk { s, run, attempt } => {
                if self.sidecars[s].run == run {
                    self.sidecars[s].core.on_first_chunk(now, attempt);
                }
            }
            Event::Finish { s, run, attempt } => {
                if self.sidecars[s].run == run {
                    self.on_finish(s, attempt);
                }
            }
        }
    }

    fn on_connected(&mut self, e: usize, s: usize, link: u64, entry_first: bool) {
        if self.links[e][s].id != link || self.links[e][s].cut {
            return;
        }
        self.fail_attempts(e, s);
        let now = self.now;
        self.links[e][s].at_entry = link;
        self.links[e][s].at_sidecar = link;
        self.links[e][s].up_since = now;
        let entry = self.entries[e].host.clone();
        let (host, run) = (self.sidecars[s].host.clone(), self.sidecars[s].run);
        if entry_first {
            self.entries[e]
                .core
                .on_sidecar_connected(host, run, domain(s));
            self.run_entry(e);
            self.sidecars[s].core.on_entry_connected(now, entry);
            self.run_sidecar(s);
        } else {
            self.sidecars[s].core.on_entry_connected(now, entry);
            self.run_sidecar(s);
            self.entries[e]
                .core
                .on_sidecar_connected(host, run, domain(s));
            self.run_entry(e);
        }
    }

    fn on_disconnected(&mut self, e: usize, s: usize, link: u64, at_entry: bool) {
        let now = self.now;
        if at_entry && self.links[e][s].at_entry == link {
            self.links[e][s].at_entry = 0;
            let host = self.sidecars[s].host.clone();
            self.entries[e].core.on_sidecar_disconnected(&host);
            self.fail_attempts(e, s);
            self.run_entry(e);
        }
        if !at_entry && self.links[e][s].at_sidecar == link {
            self.links[e][s].at_sidecar = 0;
            let host = self.entries[e].host.clone();
            self.sidecars[s].core.on_entry_disconnected(now, &host);
            self.run_sidecar(s);
        }
    }

    /// Carries out the actions of an entry's core.
    pub(crate) fn run_entry(&mut self, e: usize) {
        for action in self.entries[e].core.take_actions(self.now) {
            match action {
                EntryAction::Send { to, message } => {
                    let s = host_index(&to);
                    let link = self.links[e][s].at_entry;
                    self.traffic.count(&Message::ToSidecar(message.clone()));
                    let at = self.ordered_arrival(e, s, 0);
                    self.schedule(
                        at,
                        Event::ToSidecar {
                            e,
                            s,
                            link,
                            message,
                        },
                    );
                }
                EntryAction::OpenAttempt {
                    attempt,
                    to,
                    sidecar,
                    cause,
                    waiting,
                } => {
                    let s = host_index(&to);
                    let open = self.open_message(e, attempt, sidecar, cause, &waiting);
                    self.open(e, s, open, waiting);
                }
                EntryAction::Expired { waiting } => {
                    let request = self.entries[e].requests.remove(&waiting.request);
                    let request = request.expect("an expired request is registered");
                    assert!(matches!(request.stage, Stage::Waiting { .. }));
                    self.sources[request.source].waiting -= 1;
                    self.log.end(waiting.request, Outcome::NotRun);
                }
            }
        }
    }

    /// Carries out the actions of a sidecar's core.
    pub(crate) fn run_sidecar(&mut self, s: usize) {
        for action in self.sidecars[s].core.take_actions(self.now) {
            let SidecarAction::Send { to, message } = action else {
                continue;
            };
            let e = host_index(&to);
            let link = self.links[e][s].at_sidecar;
            self.traffic.count(&Message::FromSidecar(message.clone()));
            let at = self.ordered_arrival(e, s, 1);
            self.schedule(
                at,
                Event::FromSidecar {
                    e,
                    s,
                    link,
                    message,
                },
            );
        }
    }
}

/// The index at the end of a host's name.
fn host_index(host: &HostName) -> usize {
    let number = host.as_str().rsplit('-').next();
    let number = number.and_then(|number| number.parse().ok());
    number.expect("host names end with an index")
}
