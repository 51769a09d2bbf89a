//! Connections that come and go, hosts that restart, upstreams that leave.

use std::time::Duration;

use rand::Rng;

use super::{Ended, Entry, Event, Sim, Stage};

/// Longest time until one end notices that a connection is gone.
const NOTICE_MS: u64 = 1_500;
/// Time in which every request ends and every slot comes free once nothing new arrives.
const TO_REST: Duration = Duration::from_secs(150);

impl Sim {
    /// Makes a new connection; what went over an older one is lost.
    pub(crate) fn connect(&mut self, e: usize, s: usize) {
        let link = self.number();
        let known = &mut self.links[e][s];
        known.id = link;
        known.cut = false;
        known.last = [self.now; 2];
        let entry_first = self.rng.random_bool(0.5);
        let at = self.now + Duration::from_millis(self.rng.random_range(0..20));
        self.at(
            at,
            Event::Up {
                e,
                s,
                link,
                entry_first,
            },
        );
    }

    /// Cuts a connection; each end notices in its own time.
    pub(crate) fn cut(&mut self, e: usize, s: usize) {
        self.links[e][s].cut = true;
        let link = self.links[e][s].id;
        for at_entry in [true, false] {
            let notice = Duration::from_millis(self.rng.random_range(0..NOTICE_MS));
            self.at(
                self.now + notice,
                Event::Down {
                    e,
                    s,
                    link,
                    at_entry,
                },
            );
        }
    }

    /// Restarts an entry with no state; its sidecars notice by the new connections.
    pub(crate) fn restart_entry(&mut self, e: usize) {
        let run = self.number();
        let old = std::mem::replace(&mut self.entries[e], Entry::new(e, run));
        for (number, request) in old.requests {
            if let Stage::Waiting { .. } = request.stage {
                self.sources[request.source].waiting -= 1;
            }
            self.truth.end(number, Ended::WithEntry);
        }
        for s in 0..self.sidecars.len() {
            self.links[e][s].at_entry = 0;
            self.connect(e, s);
        }
    }

    /// Restarts a sidecar with no state, and its upstream with it.
    pub(crate) fn restart_sidecar(&mut self, s: usize) {
        let fresh = self.new_sidecar(s);
        self.sidecars[s] = fresh;
        for e in 0..self.entries.len() {
            self.links[e][s].at_sidecar = 0;
            self.connect(e, s);
        }
    }

    /// Something goes wrong, or ends going wrong.
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
                let suspects = self.sidecars[s].core.running_content_keys(&name);
                self.sidecars[s]
                    .core
                    .on_upstream_crash(now, &name, suspects);
            }
            _ => self.sidecars[s].relayed = !self.sidecars[s].relayed,
        }
    }

    /// Ends every fault, sends nothing more, and asserts that all comes to rest.
    pub(crate) fn come_to_rest(&mut self) {
        for s in 0..self.sidecars.len() {
            let pool = self.pool(s);
            let sidecar = &mut self.sidecars[s];
            sidecar.engine.leaving = None;
            sidecar.engine.silent = None;
            sidecar.engine.pool = pool;
            sidecar.relayed = true;
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
        self.run(TO_REST);
        self.truth.assert_none_lost();
        for entry in &self.entries {
            assert_eq!(entry.core.total_waiting(), 0, "a request waits for ever");
        }
        for sidecar in &self.sidecars {
            assert_eq!(sidecar.core.running(), 0, "a run never ends");
            for (name, slots) in sidecar.core.upstreams().iter() {
                assert_eq!(
                    slots.window.in_flight(),
                    0,
                    "a slot of {name} is never freed"
                );
                assert_eq!(slots.reserved, 0, "a slot of {name} stays reserved");
                assert!(slots.isolation.is_free(), "a suspect holds {name} for ever");
            }
        }
    }
}
