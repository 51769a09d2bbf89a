//! What happens in the harness, one event after another.

use std::time::Duration;

use coltsfootnotch_router::{EntryAction, RunOutcome, SidecarAction, Waiting};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    AttemptId, Begin, BeginCause, Call, CrashRef, FromSidecar, Message, NotStartedReason,
    ToSidecar, encode,
};
use rand::Rng;

use super::engine::{PREFILL, Run};
use super::entry::domain;
use super::{Ended, Request, Sim, Stage};

/// Most attempts of a request that may be repeated.
const MAX_ATTEMPTS: u32 = 3;

#[derive(Clone)]
pub(crate) enum Event {
    Tick(u64),
    Arrive(usize),
    Up { e: usize, s: usize, link: u64, entry_first: bool },
    Down { e: usize, s: usize, link: u64, at_entry: bool },
    ToSidecar { e: usize, s: usize, link: u64, message: ToSidecar },
    FromSidecar { e: usize, s: usize, link: u64, message: FromSidecar },
    Committed { e: usize, run: Incarnation, s: usize, link: u64, begin: Box<Begin> },
    Open { e: usize, s: usize, link: u64, begin: Box<Begin> },
    NotStarted { e: usize, link: u64, attempt: AttemptId, reason: NotStartedReason },
    Done { e: usize, link: u64, attempt: AttemptId },
    First { s: usize, run: Incarnation, attempt: AttemptId },
    Finish { s: usize, run: Incarnation, attempt: AttemptId },
}

/// Control messages and their bytes, as frames.
#[derive(Debug, Default, Clone)]
pub(crate) struct Traffic {
    pub(crate) measuring: bool,
    /// Messages and bytes of `Waits`, `Nothing`, `Free` and `Pull`.
    pub(crate) waits: (u64, u64),
    pub(crate) nothing: (u64, u64),
    pub(crate) free: (u64, u64),
    pub(crate) pull: (u64, u64),
    /// Attempts opened, and those not started.
    pub(crate) opened: u64,
    pub(crate) not_started: u64,
}

impl Traffic {
    fn count(&mut self, message: &Message) {
        if !self.measuring {
            return;
        }
        let bytes = encode(message).expect("a control message is small").len() as u64;
        let counter = match message {
            Message::ToSidecar(ToSidecar::Waits { .. }) => &mut self.waits,
            Message::ToSidecar(_) => &mut self.nothing,
            Message::FromSidecar(FromSidecar::Pull { .. }) => &mut self.pull,
            _ => &mut self.free,
        };
        counter.0 += 1;
        counter.1 += bytes;
    }
}

impl Sim {
    pub(crate) fn at(&mut self, time: Duration, event: Event) {
        let number = self.number();
        self.events.insert((time, number), event);
    }

    fn delay(&mut self) -> Duration {
        let (least, greatest) = self.options.delay;
        Duration::from_micros(self.rng.random_range(least..=greatest))
    }

    /// When a control message sent now arrives: after the one before it.
    fn in_order(&mut self, e: usize, s: usize, way: usize) -> Duration {
        let at = self.now + self.delay();
        let last = &mut self.links[e][s].last[way];
        *last = at.max(*last);
        *last
    }

    pub(crate) fn schedule_arrival(&mut self, source: usize) {
        let rate = self.sources[source].rate;
        if rate > 0.0 {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let wait = Duration::from_secs_f64(-uniform.ln() / rate);
            self.at(self.now + wait, Event::Arrive(source));
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(count) => self.tick(count),
            Event::Arrive(source) => {
                self.submit(source);
                self.schedule_arrival(source);
            }
            Event::Up { e, s, link, entry_first } => self.on_up(e, s, link, entry_first),
            Event::Down { e, s, link, at_entry } => self.on_down(e, s, link, at_entry),
            Event::ToSidecar { e, s, link, message } => {
                if !self.links[e][s].cut && self.links[e][s].at_sidecar == link {
                    let from = self.entries[e].host.clone();
                    self.sidecars[s].core.on_message(now, &from, message);
                    self.run_sidecar(s);
                }
            }
            Event::FromSidecar { e, s, link, message } => {
                if !self.links[e][s].cut && self.links[e][s].at_entry == link {
                    let from = self.sidecars[s].host.clone();
                    self.entries[e].core.on_message(now, &from, message);
                    self.run_entry(e);
                }
            }
            Event::Committed { e, run, s, link, begin } => {
                self.on_committed(e, run, s, link, begin);
            }
            Event::Open { e, s, link, begin } => self.on_open(e, s, link, &begin),
            Event::NotStarted { e, link, attempt, reason } => {
                self.on_not_started(e, link, attempt, reason);
            }
            Event::Done { e, link, attempt } => {
                if self.is_running(e, attempt, link) {
                    self.entries[e].requests.remove(&attempt.request);
                    self.truth.end(attempt.request, Ended::Done);
                }
            }
            Event::First { s, run, attempt } => {
                if self.sidecars[s].run == run {
                    self.sidecars[s].core.first_piece(now, attempt);
                }
            }
            Event::Finish { s, run, attempt } => {
                if self.sidecars[s].run == run {
                    self.on_finish(s, attempt);
                }
            }
        }
    }

    fn on_up(&mut self, e: usize, s: usize, link: u64, entry_first: bool) {
        if self.links[e][s].id != link || self.links[e][s].cut {
            return;
        }
        self.lose_attempts(e, s);
        let now = self.now;
        self.links[e][s].at_entry = link;
        self.links[e][s].at_sidecar = link;
        self.links[e][s].up_since = now;
        let entry = self.entries[e].host.clone();
        let (host, run) = (self.sidecars[s].host.clone(), self.sidecars[s].run);
        if entry_first {
            self.entries[e].core.sidecar_up(host, run, domain(s));
            self.run_entry(e);
            self.sidecars[s].core.entry_up(now, entry);
            self.run_sidecar(s);
        } else {
            self.sidecars[s].core.entry_up(now, entry);
            self.run_sidecar(s);
            self.entries[e].core.sidecar_up(host, run, domain(s));
            self.run_entry(e);
        }
    }

    fn on_down(&mut self, e: usize, s: usize, link: u64, at_entry: bool) {
        let now = self.now;
        if at_entry && self.links[e][s].at_entry == link {
            self.links[e][s].at_entry = 0;
            let host = self.sidecars[s].host.clone();
            self.entries[e].core.sidecar_down(&host);
            self.lose_attempts(e, s);
            self.run_entry(e);
        }
        if !at_entry && self.links[e][s].at_sidecar == link {
            self.links[e][s].at_sidecar = 0;
            let host = self.entries[e].host.clone();
            self.sidecars[s].core.entry_down(now, &host);
            self.run_sidecar(s);
        }
    }

    /// Carries out what an entry's core has decided.
    pub(crate) fn run_entry(&mut self, e: usize) {
        for action in self.entries[e].core.take_actions(self.now) {
            match action {
                EntryAction::Send { to, message } => {
                    let s = self.sidecar_of(&to);
                    let link = self.links[e][s].at_entry;
                    self.traffic.count(&Message::ToSidecar(message.clone()));
                    let at = self.in_order(e, s, 0);
                    self.at(at, Event::ToSidecar { e, s, link, message });
                }
                EntryAction::Begin { attempt, to, sidecar, cause, waiting } => {
                    let s = self.sidecar_of(&to);
                    let begin = self.begin_of(e, attempt, sidecar, cause, &waiting);
                    self.open(e, s, begin, waiting);
                }
                EntryAction::Expired { waiting } => {
                    let request = self.entries[e].requests.remove(&waiting.request);
                    let request = request.expect("what expires is known");
                    assert!(matches!(request.stage, Stage::Waiting { .. }));
                    self.sources[request.source].waiting -= 1;
                    self.truth.end(waiting.request, Ended::NotRun);
                }
            }
        }
    }

    fn open(&mut self, e: usize, s: usize, begin: Box<Begin>, waiting: Waiting) {
        let link = self.links[e][s].at_entry;
        let (run, number) = (self.entries[e].run, waiting.request);
        let request = self.entries[e].requests.get_mut(&number);
        let request = request.expect("what begins is known");
        assert!(matches!(request.stage, Stage::Waiting { .. }));
        request.waiting = waiting;
        let source = request.source;
        self.sources[source].waiting -= 1;
        let at = self.now + self.delay();
        if begin.repeatable {
            let attempt = begin.attempt;
            self.set_stage(e, number, Stage::Running { attempt, s, link });
            self.at(at, Event::Open { e, s, link, begin });
        } else {
            self.set_stage(e, number, Stage::Intent);
            self.at(at + self.now.min(PREFILL), Event::Committed { e, run, s, link, begin });
        }
    }

    fn on_committed(&mut self, e: usize, run: Incarnation, s: usize, link: u64, begin: Box<Begin>) {
        let attempt = begin.attempt;
        if self.entries[e].run != run {
            return;
        }
        if self.links[e][s].at_entry != link {
            self.requeue(e, attempt.request, None);
            return self.run_entry(e);
        }
        self.set_stage(e, attempt.request, Stage::Running { attempt, s, link });
        let at = self.now + self.delay();
        self.at(at, Event::Open { e, s, link, begin });
    }

    fn on_open(&mut self, e: usize, s: usize, link: u64, begin: &Begin) {
        if self.links[e][s].cut || self.links[e][s].at_sidecar != link {
            return;
        }
        let (now, attempt) = (self.now, begin.attempt);
        let from = self.entries[e].host.clone();
        self.traffic.opened += 1;
        let mut outcome = self.sidecars[s].core.begin(now, &from, begin);
        if outcome.is_ok() && self.rng.random_bool(self.options.unreachable) {
            let core = &mut self.sidecars[s].core;
            core.finish(now, attempt, ServiceUnits(0), RunOutcome::NotReached);
            outcome = Err(NotStartedReason::NotReached);
        }
        match outcome {
            Ok(upstream) => self.start(e, s, link, begin, &upstream),
            Err(reason) => {
                self.traffic.not_started += 1;
                let at = now + self.delay();
                self.at(at, Event::NotStarted { e, link, attempt, reason });
            }
        }
        self.run_sidecar(s);
    }

    fn start(&mut self, e: usize, s: usize, link: u64, begin: &Begin, upstream: &UpstreamName) {
        let (now, attempt) = (self.now, begin.attempt);
        let engine = &mut self.sidecars[s].engine;
        assert_eq!((&engine.name, &engine.pool), (upstream, &begin.pool));
        for since in [engine.leaving, engine.silent].into_iter().flatten() {
            assert!(now < since + Duration::from_secs(3), "new work for {upstream}");
        }
        self.truth.start(now, attempt);
        let record = &self.truth.records[attempt.request as usize];
        let run = Run {
            attempt,
            source: record.source,
            cost: record.cost,
            entry: e,
            link,
            admitted: None,
            counted: 0,
        };
        let admitted = engine.add(now, run);
        self.admitted(s, admitted);
    }

    fn admitted(&mut self, s: usize, admitted: Option<(AttemptId, Duration)>) {
        let run = self.sidecars[s].run;
        if let Some((attempt, end)) = admitted {
            self.at(self.now + PREFILL, Event::First { s, run, attempt });
            self.at(end, Event::Finish { s, run, attempt });
        }
    }

    fn on_finish(&mut self, s: usize, attempt: AttemptId) {
        let now = self.now;
        let Some((run, admitted)) = self.sidecars[s].engine.end(now, attempt) else {
            return;
        };
        self.admitted(s, admitted);
        self.serve(run.source, run.cost - run.counted);
        let total = ServiceUnits(run.cost);
        let core = &mut self.sidecars[s].core;
        core.progress(now, attempt, run.cost, total);
        core.finish(now, attempt, total, RunOutcome::Finished);
        let (e, link) = (run.entry, run.link);
        let at = now + self.delay();
        if !self.links[e][s].cut && self.links[e][s].at_sidecar == link {
            self.at(at, Event::Done { e, link, attempt });
        }
        self.run_sidecar(s);
    }

    fn serve(&mut self, source: usize, tokens: u64) {
        let source = &self.sources[source];
        self.meter.serve(&source.account, source.weight, ServiceUnits(tokens));
    }

    /// Counts the tokens of runs in progress.
    pub(crate) fn progress(&mut self) {
        let now = self.now;
        for s in 0..self.sidecars.len() {
            let mut counted = Vec::new();
            let engine = &self.sidecars[s].engine;
            for (i, run) in engine.active.iter().enumerate() {
                counted.push((i, engine.yielded(now, run)));
            }
            for (i, tokens) in counted {
                let run = &mut self.sidecars[s].engine.active[i];
                let more = tokens - run.counted;
                run.counted = tokens;
                let (attempt, source) = (run.attempt, run.source);
                let core = &mut self.sidecars[s].core;
                core.progress(now, attempt, tokens, ServiceUnits(tokens));
                self.serve(source, more);
            }
        }
    }

    fn on_not_started(&mut self, e: usize, link: u64, attempt: AttemptId, reason: NotStartedReason) {
        if self.is_running(e, attempt, link) {
            self.requeue(e, attempt.request, Some(reason));
            self.run_entry(e);
        }
    }

    fn requeue(&mut self, e: usize, number: u64, reason: Option<NotStartedReason>) {
        let now = self.now;
        let request = self.entries[e].requests.get_mut(&number);
        let request = request.expect("what is requeued is known");
        if let (Some(NotStartedReason::NotReached | NotStartedReason::Leaving), Stage::Running { s, .. }) =
            (reason, request.stage)
        {
            request.waiting.avoid.push(self.sidecars[s].host.clone());
        }
        request.stage = Stage::Waiting { since: now };
        let waiting = request.waiting.clone();
        self.sources[request.source].waiting += 1;
        self.entries[e].core.requeue(waiting);
    }

    /// Ends the attempts at a sidecar whose connection broke.
    pub(crate) fn lose_attempts(&mut self, e: usize, at: usize) {
        let requests = &self.entries[e].requests;
        let there = requests.iter().filter(|(_, r)| matches!(r.stage, Stage::Running { s, .. } if s == at));
        let lost: Vec<u64> = there.map(|(number, _)| *number).collect();
        for number in lost {
            let request = self.entries[e].requests.get_mut(&number).expect("it was found");
            if request.waiting.repeatable && request.waiting.attempt + 1 < MAX_ATTEMPTS {
                request.waiting.avoid.push(self.sidecars[at].host.clone());
                self.requeue(e, number, None);
            } else {
                self.entries[e].requests.remove(&number);
                self.truth.end(number, Ended::Unknown);
            }
        }
    }

    fn is_running(&self, e: usize, attempt: AttemptId, link: u64) -> bool {
        let request = self.entries[e].requests.get(&attempt.request);
        let is_it = |r: &Request| matches!(r.stage, Stage::Running { attempt: a, link: l, .. } if (a, l) == (attempt, link));
        self.entries[e].run == attempt.entry && request.is_some_and(is_it)
    }

    fn set_stage(&mut self, e: usize, number: u64, stage: Stage) {
        if let Some(request) = self.entries[e].requests.get_mut(&number) {
            request.stage = stage;
        }
    }

    fn begin_of(
        &self,
        e: usize,
        attempt: AttemptId,
        sidecar: Incarnation,
        cause: BeginCause,
        waiting: &Waiting,
    ) -> Box<Begin> {
        let suspect = self.entries[e].requests.get(&waiting.request).is_some_and(|r| r.suspect);
        let crash = CrashRef {
            host: self.sidecars[0].host.clone(),
            incarnation: Incarnation(0),
            number: waiting.request,
        };
        let mut content = [0; 32];
        content[..8].copy_from_slice(&waiting.request.to_be_bytes());
        Box::new(Begin {
            attempt,
            cause,
            account: waiting.account.clone(),
            pool: waiting.pool.clone(),
            sidecar,
            content,
            repeatable: waiting.repeatable,
            suspected_of: if suspect { vec![crash] } else { Vec::new() },
            estimate: waiting.estimate,
            deadline_ms: 1_000,
            call: Call {
                method: "POST".to_owned(),
                path: "/".to_owned(),
                content_type: None,
                idempotency_key: None,
                body: Vec::new(),
                stream: false,
            },
        })
    }

    /// Carries out what a sidecar's core has decided.
    pub(crate) fn run_sidecar(&mut self, s: usize) {
        for action in self.sidecars[s].core.take_actions(self.now) {
            let SidecarAction::Send { to, message } = action else {
                continue;
            };
            let e = self.entry_of(&to);
            let link = self.links[e][s].at_sidecar;
            self.traffic.count(&Message::FromSidecar(message.clone()));
            let at = self.in_order(e, s, 1);
            self.at(at, Event::FromSidecar { e, s, link, message });
        }
    }

    fn entry_of(&self, host: &HostName) -> usize {
        let at = self.entries.iter().position(|entry| entry.host == *host);
        at.expect("a known entry")
    }

    fn sidecar_of(&self, host: &HostName) -> usize {
        let at = self.sidecars.iter().position(|sidecar| sidecar.host == *host);
        at.expect("a known sidecar")
    }
}
