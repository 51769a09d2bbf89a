//! Evacuations of failure domains in virtual time: control hosts, entries and an operator.
//!
//! The control hosts apply one committed log, each with a delay of its own, and send evacuations and
//! answers to lease requests over connections that keep their order. Connections are cut, and hosts
//! restart. An entry may send a request while its lease is valid.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coltsfootnotch_forward::lease::ConfigLease;
use coltsfootnotch_forward::registry::EvacuatedDomains;
use coltsfootnotch_state::{Command, LogTime, Op, SetEvacuation, StateMachine};
use coltsfootnotch_types::DomainName;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const CONTROL_HOSTS: usize = 3;
const ENTRIES: usize = 4;
const DOMAINS: usize = 3;
/// Time after the acknowledgement from which an evacuation binds every entry.
const BOUND_MS: u64 = 5_000;
const LEASE: Duration = Duration::from_millis(4_000);
const LEASE_INTERVAL_MS: u64 = 500;
const STEP_MS: u64 = 50;
const RUN_MS: u64 = 30_000;
/// Random runs; more with EVACUATION_RUNS.
const RUNS: u64 = 300;

enum Packet {
    Evacuations { revision: u64, domains: Vec<String> },
    Lease { sent_ms: u64 },
}

struct ControlHost {
    machine: StateMachine,
    /// Number of committed orders applied.
    applied: usize,
    stalled_until: u64,
}

struct Entry {
    evacuated: EvacuatedDomains,
    lease: ConfigLease,
    /// Packets by control host, with their arrival times; no connection if absent.
    links: BTreeMap<usize, VecDeque<(u64, Packet)>>,
    stalled_until: u64,
}

struct Run {
    now: u64,
    rng: StdRng,
    committed: Vec<Op>,
    controls: Vec<ControlHost>,
    entries: Vec<Entry>,
    /// Lease requests by control host, entry and time, with the orders committed by then.
    queries: Vec<(usize, usize, u64, usize)>,
    /// Since when each domain is evacuated.
    evacuated_since: [Option<u64>; DOMAINS],
    sends: usize,
}

fn domain(number: usize) -> DomainName {
    DomainName::new(format!("d{number}")).expect("a valid name")
}

fn entry() -> Entry {
    Entry {
        evacuated: EvacuatedDomains::default(),
        lease: ConfigLease::new(LEASE),
        links: BTreeMap::new(),
        stalled_until: 0,
    }
}

fn control_host() -> ControlHost {
    ControlHost {
        machine: StateMachine::default(),
        applied: 0,
        stalled_until: 0,
    }
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            committed: Vec::new(),
            controls: (0..CONTROL_HOSTS).map(|_| control_host()).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            queries: Vec::new(),
            evacuated_since: [None; DOMAINS],
            sends: 0,
        }
    }

    fn execute(mut self) -> usize {
        while self.now < RUN_MS {
            self.now += STEP_MS;
            self.order();
            self.disturb();
            self.connect();
            self.apply();
            self.answer();
            self.receive();
            self.request_leases();
            self.check();
        }
        self.sends
    }

    fn order(&mut self) {
        if !self.rng.random_bool(0.02) {
            return;
        }
        let (number, evacuated) = (self.rng.random_range(0..DOMAINS), self.rng.random_bool(0.6));
        self.committed.push(Op::SetEvacuation(SetEvacuation {
            domain: domain(number),
            evacuated,
        }));
        let since = &mut self.evacuated_since[number];
        *since = evacuated.then(|| since.unwrap_or(self.now));
    }

    fn disturb(&mut self) {
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..CONTROL_HOSTS);
            self.controls[index].stalled_until = self.now + self.rng.random_range(100..8_000);
        }
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..ENTRIES);
            self.entries[index].stalled_until = self.now + self.rng.random_range(100..8_000);
        }
        if self.rng.random_bool(0.01) {
            // Restarts without any state.
            let index = self.rng.random_range(0..ENTRIES);
            self.entries[index] = entry();
        }
        if self.rng.random_bool(0.02) {
            let index = self.rng.random_range(0..ENTRIES);
            let control = self.rng.random_range(0..CONTROL_HOSTS);
            self.entries[index].links.remove(&control);
        }
        if self.rng.random_bool(0.005) {
            // Restarts from its snapshot; its connections are lost.
            let index = self.rng.random_range(0..CONTROL_HOSTS);
            let control = &mut self.controls[index];
            control.machine = StateMachine::restore(&control.machine.snapshot())
                .expect("it reads its own snapshot");
            for entry in &mut self.entries {
                entry.links.remove(&index);
            }
        }
    }

    /// A new connection starts with the evacuations that the control host has applied.
    fn connect(&mut self) {
        for entry in 0..ENTRIES {
            for control in 0..CONTROL_HOSTS {
                let is_stalled = self.controls[control].stalled_until > self.now
                    || self.entries[entry].stalled_until > self.now;
                let is_up = self.entries[entry].links.contains_key(&control);
                if is_up || is_stalled || self.rng.random_bool(0.7) {
                    continue;
                }
                self.entries[entry].links.insert(control, VecDeque::new());
                self.send_evacuations(control, entry);
            }
        }
    }

    fn send_evacuations(&mut self, control: usize, entry: usize) {
        let state = self.controls[control].machine.evacuations();
        let packet = Packet::Evacuations {
            revision: state.revision(),
            domains: state.domains().iter().map(ToString::to_string).collect(),
        };
        self.send(control, entry, packet);
    }

    fn send(&mut self, control: usize, entry: usize, packet: Packet) {
        let arrives = self.now + self.rng.random_range(1..120);
        if let Some(link) = self.entries[entry].links.get_mut(&control) {
            link.push_back((arrives, packet));
        }
    }

    fn apply(&mut self) {
        for index in 0..CONTROL_HOSTS {
            let control = &mut self.controls[index];
            if control.stalled_until > self.now || control.applied == self.committed.len() {
                continue;
            }
            if self.rng.random_bool(0.3) {
                continue;
            }
            let before = control.machine.evacuations().revision();
            let command = Command {
                at: LogTime(self.now),
                op: self.committed[control.applied].clone(),
            };
            control.applied += 1;
            control.machine.apply(control.applied as u64, &command);
            if control.machine.evacuations().revision() != before {
                for entry in 0..ENTRIES {
                    self.send_evacuations(index, entry);
                }
            }
        }
    }

    /// A control host answers once it has applied what was committed when the request came.
    fn answer(&mut self) {
        for query in std::mem::take(&mut self.queries) {
            let (control, entry, sent_ms, committed) = query;
            let host = &self.controls[control];
            if host.stalled_until > self.now || host.applied < committed {
                self.queries.push(query);
                continue;
            }
            self.send(control, entry, Packet::Lease { sent_ms });
        }
    }

    fn receive(&mut self) {
        for entry in &mut self.entries {
            if entry.stalled_until > self.now {
                continue;
            }
            for link in entry.links.values_mut() {
                while link
                    .front()
                    .is_some_and(|(arrives, _)| *arrives <= self.now)
                {
                    match link.pop_front() {
                        Some((_, Packet::Evacuations { revision, domains })) => {
                            let domains = domains.into_iter().map(Into::into);
                            entry.evacuated.apply(revision, domains);
                        }
                        Some((_, Packet::Lease { sent_ms })) => {
                            entry.lease.renew(Duration::from_millis(sent_ms), 1);
                        }
                        None => {}
                    }
                }
            }
        }
    }

    fn request_leases(&mut self) {
        if !self.now.is_multiple_of(LEASE_INTERVAL_MS) {
            return;
        }
        for entry in 0..ENTRIES {
            if self.entries[entry].stalled_until > self.now {
                continue;
            }
            let control = self.rng.random_range(0..CONTROL_HOSTS);
            if self.entries[entry].links.contains_key(&control) {
                let query = (control, entry, self.now, self.committed.len());
                self.queries.push(query);
            }
        }
    }

    fn check(&mut self) {
        let now = Duration::from_millis(self.now);
        for (index, entry) in self.entries.iter().enumerate() {
            if entry.stalled_until > self.now || !entry.lease.is_valid(now, 1) {
                continue;
            }
            for (number, since) in self.evacuated_since.iter().enumerate() {
                let sends = !entry.evacuated.contains(domain(number).as_str());
                self.sends += usize::from(sends);
                let is_due = since.is_some_and(|since| self.now > since + BOUND_MS);
                assert!(
                    !sends || !is_due,
                    "entry {index} sends to domain {number} at {} ms, evacuated since {since:?}",
                    self.now
                );
            }
        }
    }
}

/// Guards against requests to a domain later than the bound after its evacuation was acknowledged, with
/// any entry restarted, paused or connected to control hosts that are behind.
#[googletest::test]
fn randomised_evacuations_bind_every_entry_with_a_lease() {
    let runs = std::env::var("EVACUATION_RUNS").ok();
    let runs = runs.and_then(|runs| runs.parse().ok()).unwrap_or(RUNS);
    let sends: usize = (0..runs).map(|seed| Run::new(seed).execute()).sum();
    expect_that!(sends, gt(0), "entries send requests");
}
