//! Faults: lost connections, restarts, and upstreams that leave or stop announcing.

use std::time::Duration;

use rand::Rng;

use super::{Entry, Event, Outcome, Sim, Stage};

/// Longest time until an end detects a lost connection.
const DETECTION_MS: u64 = 1_500;
/// Time in which every request ends and every slot is freed once no request arrives.
const DRAIN_TIME: Duration = Duration::from_secs(150);

impl Sim {
    /// Opens a new connection; messages over an older one are lost.
    pub(crate) fn connect(&mut self, e: usize, s: usize) {
        let link = self.next_number();
        let state = &mut self.links[e][s];
        state.id = link;
        state.cut = false;
        state.last = [self.now; 2];
        let entry_first = self.rng.random_bool(0.5);
        let at = self.now + Duration::from_millis(self.rng.random_range(0..20));
        self.schedule(
            at,
            Event::Connected {
                e,
                s,
                link,
                entry_first,
            },
        );
    }

    /// Cuts a connection; each end detects it after a delay of its own.
    pub(crate) fn cut(&mut self, e: usize, s: usize) {
        self.links[e][s].cut = true;
        let link = self.links[e][s].id;
        for at_entry in [true, false] {
            let detection = Duration::from_millis(self.rng.random_range(0..DETECTION_MS));
            self.schedule(
                self.now + detection,
                Event::Disconnected {
                    e,
                    s,
                    link,
                    at_entry,
                },
            );
        }
    }

    /// Restarts an entry without state; its sidecars learn of it by the new connections.
    pub(crate) fn restart_entry(&mut self, e: usize) {
        let run = self.next_number();
        let old = std::mem::replace(&mut self.entries[e], Entry::new(e, run));
        for (number, request) in old.requests {
            if let Stage::Waiting { .. } = request.stage {
                self.sources[request.source].waiting -= 1;
            }
            self.log.end(number, Outcome::EntryLost);
        }
        for s in 0..self.sidecars.len() {
            self.links[e][s].at_entry = 0;
            self.connect(e, s);
        }
    }

    /// Restarts a sidecar and its upstream without state.
    pub(crate) fn restart_sidecar(&mut self, s: usize) {
        let restarted = self.new_sidecar(s);
        self.sidecars[s] = restarted;
        for e in 0..self.entries.len() {
            self.links[e][s].at_sidecar = 0;
            self.connect(e, s);
        }
    }

    /// Injects a random fault, or ends one.
    pub(crate) fn random_fault(&mut self) {
        let e = self.rng.random_range(0..self.entries.len());
        let s = self.rng.random_range(0..self.sidecars.len());
        let now = self.now;
        match self.rng.random_range(0..12) {
            0..4 if !self.links[e][s].cut => self.cut(e, s),
            0..4 => self.connect(e, s),
            4 => self.connect(e, s),
            5 => self.restart_entry(e),
            6 => self.restart_sidecar(s),
            7 => {
                let leaving = &mut self.sidecars[s].engine.leaving;
                *leaving = if leaving.is_none() { Some(now) } else { None };
            }
            8 => {
                let silent = &mut self.sidecars[s].engine.silent;
                *silent = if silent.is_none() { Some(now) } else { None };
            }
            9 => {
                let other = self.rng.random_range(0..self.options.pools);
                self.sidecars[s].engine.pool = self.pool(other);
            }
            10 => {
                let name = self.sidecars[s].engine.name.clone();
                let requests = self.sidecars[s].core.running_requests(&name);
                self.sidecars[s]
                    .core
                    .on_upstream_crash(now, &name, requests);
            }
            _ => self.sidecars[s].has_relay = !self.sidecars[s].has_relay,
        }
    }

    /// Ends every fault, sends no further requests, and asserts that all requests end and all slots
    /// are freed.
    pub(crate) fn drain_and_check(&mut self) {
        for s in 0..self.sidecars.len() {
            let pool = self.pool(s);
            let sidecar = &mut self.sidecars[s];
            sidecar.engine.leaving = None;
            sidecar.engine.silent = None;
            sidecar.engine.pool = pool;
            sidecar.has_relay = true;
        }
        for (e, s) in self.pairs() {
            if self.links[e][s].cut {
                self.connect(e, s);
            }
        }
        for source in &mut self.sources {
            source.backlog = 0;
            source.rate = 0.0;
        }
        self.run(DRAIN_TIME);
        self.log.assert_none_lost();
        for entry in &self.entries {
            assert_eq!(entry.core.total_waiting(), 0, "a request still waits");
        }
        for sidecar in &self.sidecars {
            assert_eq!(sidecar.core.running(), 0, "an attempt still runs");
            for (name, slots) in sidecar.core.upstreams().iter() {
                assert_eq!(
                    slots.window.in_flight(),
                    0,
                    "a slot of {name} is still in use"
                );
                assert_eq!(slots.reserved, 0, "a slot of {name} is still reserved");
                assert!(slots.isolation.is_free(), "a suspect still occupies {name}");
            }
        }
    }
}
